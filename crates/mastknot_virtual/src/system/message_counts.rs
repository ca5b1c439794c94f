use std::collections::BTreeMap;

use crate::MessageKind;

/// Number of messages between the processes of the system, by kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MessageCounts {
    counts: BTreeMap<MessageKind, u64>,
}

impl MessageCounts {
    /// Counts a message of a kind.
    pub fn record(&mut self, kind: MessageKind) {
        *self.counts.entry(kind).or_default() += 1;
    }

    /// Returns the number of messages of a kind.
    pub fn of(&self, kind: MessageKind) -> u64 {
        self.counts.get(&kind).copied().unwrap_or(0)
    }

    /// Returns the number of messages of all kinds.
    pub fn total(&self) -> u64 {
        self.counts.values().sum()
    }

    /// Returns all kinds with their counts.
    pub fn iter(&self) -> impl Iterator<Item = (MessageKind, u64)> + '_ {
        self.counts.iter().map(|(kind, count)| (*kind, *count))
    }
}
