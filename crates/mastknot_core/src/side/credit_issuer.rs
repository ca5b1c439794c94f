use std::collections::BTreeMap;
use std::time::Duration;

use crate::message::{Credit, CreditSeq};
use crate::types::{Incarnation, Moment, NodeName};

/// An unspent credit.
#[derive(Clone, Debug)]
struct Outstanding {
    entry: NodeName,
    issued_at: Moment,
}

/// Issues single-use credits and takes them back.
///
/// A credit lives as long as its lifetime after it was issued or after its entry was last heard,
/// whichever is later. An entry that works with the side thus keeps its idle credits without a
/// message for it, and an entry that is paused or cut off loses them.
#[derive(Clone, Debug)]
pub(crate) struct CreditIssuer {
    incarnation: Incarnation,
    lifetime: Duration,
    next_seq: CreditSeq,
    outstanding: BTreeMap<CreditSeq, Outstanding>,
    heard_at: BTreeMap<NodeName, Moment>,
    /// Before this moment no credit can expire.
    none_before: Moment,
}

impl CreditIssuer {
    pub(crate) fn new(incarnation: Incarnation, lifetime: Duration) -> Self {
        Self {
            incarnation,
            lifetime,
            next_seq: 1,
            outstanding: BTreeMap::new(),
            heard_at: BTreeMap::new(),
            none_before: Moment::default(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.outstanding.len()
    }

    /// Notes that something came from an entry. Only credits that are still alive gain by it, so
    /// the expired ones must have been removed before.
    pub(crate) fn note_heard(&mut self, now: Moment, entry: &NodeName) {
        match self.heard_at.get_mut(entry) {
            Some(heard_at) => *heard_at = now,
            None => {
                self.heard_at.insert(entry.clone(), now);
            }
        }
    }

    /// Forgets when an entry was heard: its link is gone.
    pub(crate) fn forget_heard(&mut self, entry: &NodeName) {
        self.heard_at.remove(entry);
        self.none_before = Moment::default();
    }

    fn expires_at(&self, held: &Outstanding) -> Moment {
        let heard_at = self.heard_at.get(&held.entry).copied().unwrap_or_default();
        held.issued_at.max(heard_at) + self.lifetime
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

    /// Takes a credit out of circulation, if it is live; returns who it was granted to.
    pub(crate) fn take(&mut self, now: Moment, seq: CreditSeq) -> Option<NodeName> {
        let held = self.outstanding.get(&seq)?;
        if self.expires_at(held) <= now {
            return None;
        }
        self.outstanding.remove(&seq).map(|held| held.entry)
    }

    /// Removes the credits that have expired; returns who each was granted to.
    pub(crate) fn expire(&mut self, now: Moment) -> Vec<NodeName> {
        if now < self.none_before {
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
        self.none_before = self.next_expiry().unwrap_or(now + self.lifetime);
        removed
    }

    /// When the next credit expires, if nothing more is heard.
    pub(crate) fn next_expiry(&self) -> Option<Moment> {
        let expiries = self.outstanding.values().map(|held| self.expires_at(held));
        expiries.min()
    }
}
