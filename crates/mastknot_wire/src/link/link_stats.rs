use std::sync::atomic::{AtomicU64, Ordering};

use crate::frame::MessageKind;

/// Counts the messages and bytes that the links of one process have carried, by kind of message.
#[derive(Debug, Default)]
pub struct LinkStats {
    sent: [Traffic; MessageKind::ALL.len()],
    received: [Traffic; MessageKind::ALL.len()],
}

#[derive(Debug, Default)]
struct Traffic {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl LinkStats {
    pub(crate) fn record_sent(&self, kind: MessageKind, bytes: usize) {
        self.sent[kind as usize].add(bytes);
    }

    pub(crate) fn record_received(&self, kind: MessageKind, bytes: usize) {
        self.received[kind as usize].add(bytes);
    }

    /// Returns the number of bytes of a kind that were sent so far.
    pub fn bytes_sent(&self, kind: MessageKind) -> u64 {
        self.sent[kind as usize].bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes of a kind that were received so far.
    pub fn bytes_received(&self, kind: MessageKind) -> u64 {
        self.received[kind as usize].bytes.load(Ordering::Relaxed)
    }

    /// Returns all counters with their names.
    pub fn counters(&self) -> Vec<(String, u64)> {
        let sent = MessageKind::ALL.map(|kind| (kind, "sent", &self.sent[kind as usize]));
        let received =
            MessageKind::ALL.map(|kind| (kind, "received", &self.received[kind as usize]));
        let traffic = sent.into_iter().chain(received);
        traffic
            .flat_map(|(kind, direction, traffic)| traffic.counters(kind, direction))
            .collect()
    }

    /// Returns all counters in Prometheus text format.
    pub fn text(&self) -> String {
        let lines = self.counters().into_iter();
        lines
            .map(|(name, value)| format!("mastknot_link_{name} {value}\n"))
            .collect()
    }
}

impl Traffic {
    fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn counters(&self, kind: MessageKind, direction: &str) -> [(String, u64); 2] {
        let kind = kind.name();
        [
            (
                format!("{kind}_messages_{direction}"),
                self.messages.load(Ordering::Relaxed),
            ),
            (
                format!("{kind}_bytes_{direction}"),
                self.bytes.load(Ordering::Relaxed),
            ),
        ]
    }
}
