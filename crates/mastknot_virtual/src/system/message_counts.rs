use std::collections::BTreeMap;

use crate::MessageKind;

/// Messages between the processes of the system, by kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MessageCounts {
    counts: BTreeMap<MessageKind, u64>,
}

impl MessageCounts {
    /// Counts one message.
    pub fn record(&mut self, kind: MessageKind) {
        *self.counts.entry(kind).or_default() += 1;
    }

    /// Messages of a kind.
    pub fn of(&self, kind: MessageKind) -> u64 {
        self.counts.get(&kind).copied().unwrap_or(0)
    }

    /// All messages.
    pub fn total(&self) -> u64 {
        self.counts.values().sum()
    }

    /// All kinds with their counts.
    pub fn iter(&self) -> impl Iterator<Item = (MessageKind, u64)> + '_ {
        self.counts.iter().map(|(kind, count)| (*kind, *count))
    }
}
