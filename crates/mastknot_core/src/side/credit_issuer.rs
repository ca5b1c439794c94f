use std::collections::BTreeMap;
use std::time::Duration;

use crate::message::{Credit, CreditSeq};
use crate::types::{Incarnation, Moment, NodeName};

/// An unspent credit.
#[derive(Clone, Debug)]
struct Outstanding {
    entry: NodeName,
    expires: Moment,
}

/// Issues single-use credits and takes them back.
///
/// Sequence numbers rise with time and every credit lives equally long, so the lowest number
/// always expires first.
#[derive(Clone, Debug)]
pub(crate) struct CreditIssuer {
    incarnation: Incarnation,
    lifetime: Duration,
    next_seq: CreditSeq,
    outstanding: BTreeMap<CreditSeq, Outstanding>,
}

impl CreditIssuer {
    pub(crate) fn new(incarnation: Incarnation, lifetime: Duration) -> Self {
        Self {
            incarnation,
            lifetime,
            next_seq: 1,
            outstanding: BTreeMap::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.outstanding.len()
    }

    /// Issues one credit to `entry`.
    pub(crate) fn issue(&mut self, now: Moment, entry: &NodeName) -> Credit {
        let seq = self.next_seq;
        self.next_seq += 1;
        let outstanding = Outstanding {
            entry: entry.clone(),
            expires: now + self.lifetime,
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
        let live = self.outstanding.get(&seq)?.expires > now;
        if !live {
            return None;
        }
        self.outstanding.remove(&seq).map(|held| held.entry)
    }

    /// Removes the credits that have expired; returns who each was granted to.
    pub(crate) fn expire(&mut self, now: Moment) -> Vec<NodeName> {
        let mut expired = Vec::new();
        while let Some(first) = self.outstanding.first_entry() {
            if first.get().expires > now {
                break;
            }
            expired.push(first.remove().entry);
        }
        expired
    }

    /// When the next credit expires.
    pub(crate) fn next_expiry(&self) -> Option<Moment> {
        self.outstanding.values().next().map(|held| held.expires)
    }
}
