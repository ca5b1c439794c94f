use std::collections::BTreeMap;
use std::time::Duration;

use crate::message::{Credit, CreditSeq};
use crate::types::{Incarnation, Moment, NodeName};

/// Issued credit that has not been used yet.
#[derive(Clone, Debug)]
struct Outstanding {
    entry: NodeName,
    issued_at: Moment,
}

/// Issues single-use credits and takes them back.
///
/// A credit is valid for its lifetime, counted from its issue or from the last message of its
/// entry, whichever is later. An entry that works with the side therefore keeps its idle credits
/// without additional messages, and an entry that is paused or partitioned loses them.
#[derive(Clone, Debug)]
pub(crate) struct CreditIssuer {
    incarnation: Incarnation,
    lifetime: Duration,
    next_seq: CreditSeq,
    outstanding: BTreeMap<CreditSeq, Outstanding>,
    last_message_at: BTreeMap<NodeName, Moment>,
    /// Time before which no credit can expire.
    no_expiry_before: Moment,
}

impl CreditIssuer {
    pub(crate) fn new(incarnation: Incarnation, lifetime: Duration) -> Self {
        Self {
            incarnation,
            lifetime,
            next_seq: 1,
            outstanding: BTreeMap::new(),
            last_message_at: BTreeMap::new(),
            no_expiry_before: Moment::default(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.outstanding.len()
    }

    /// Records that a message of an entry has arrived. Expired credits must have been removed
    /// before, because this extends all credits of the entry.
    pub(crate) fn record_message(&mut self, now: Moment, entry: &NodeName) {
        match self.last_message_at.get_mut(entry) {
            Some(last_message_at) => *last_message_at = now,
            None => {
                self.last_message_at.insert(entry.clone(), now);
            }
        }
    }

    /// Forgets the last message of an entry whose link was closed.
    pub(crate) fn forget_entry(&mut self, entry: &NodeName) {
        self.last_message_at.remove(entry);
        self.no_expiry_before = Moment::default();
    }

    fn expires_at(&self, held: &Outstanding) -> Moment {
        let last_message_at = self
            .last_message_at
            .get(&held.entry)
            .copied()
            .unwrap_or_default();
        held.issued_at.max(last_message_at) + self.lifetime
    }

    /// Issues one credit to `entry`.
    pub(crate) fn issue(&mut self, now: Moment, entry: &NodeName) -> Credit {
        let seq = self.next_seq;
        self.next_seq += 1;
        let outstanding = Outstanding {
            entry: entry.clone(),
            issued_at: now,
        };
        self.outstanding.insert(seq, outstanding);
        Credit {
            incarnation: self.incarnation,
            seq,
            lifetime_ms: self.lifetime.as_millis() as u32,
        }
    }

    /// Takes back a credit if it is still valid; returns the entry to which it was issued.
    pub(crate) fn take(&mut self, now: Moment, seq: CreditSeq) -> Option<NodeName> {
        let held = self.outstanding.get(&seq)?;
        if self.expires_at(held) <= now {
            return None;
        }
        self.outstanding.remove(&seq).map(|held| held.entry)
    }

    /// Removes the credits that have expired; returns the entry of each.
    pub(crate) fn expire(&mut self, now: Moment) -> Vec<NodeName> {
        if now < self.no_expiry_before {
            return Vec::new();
        }
        let is_over = |(_, held): &(&CreditSeq, &Outstanding)| self.expires_at(held) <= now;
        let expired: Vec<CreditSeq> = self
            .outstanding
            .iter()
            .filter(is_over)
            .map(|(seq, _)| *seq)
            .collect();
        let removed = expired
            .iter()
            .filter_map(|seq| self.outstanding.remove(seq))
            .map(|held| held.entry)
            .collect();
        self.no_expiry_before = self.next_expiry().unwrap_or(now + self.lifetime);
        removed
    }

    /// Returns the time at which the next credit expires if no further message arrives.
    pub(crate) fn next_expiry(&self) -> Option<Moment> {
        let expiries = self.outstanding.values().map(|held| self.expires_at(held));
        expiries.min()
    }
}
