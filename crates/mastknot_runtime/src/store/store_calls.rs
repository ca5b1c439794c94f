use std::sync::atomic::{AtomicU64, Ordering};

use serde_json::{Map, Value, json};

/// Why the store was called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreReason {
    /// The authority of an entry was renewed.
    RenewAuthority,
    /// The roster was changed.
    ChangeRoster,
    /// The configuration was read whole.
    ReadConfig,
    /// It was checked whether a watch had skipped something.
    CheckConfig,
    /// A watch on the configuration was opened.
    WatchConfig,
    /// An operator read a resource.
    OperatorRead,
    /// An operator wrote a resource.
    OperatorWrite,
}

const REASONS: [(StoreReason, &str); 7] = [
    (StoreReason::RenewAuthority, "renew_authority"),
    (StoreReason::ChangeRoster, "change_roster"),
    (StoreReason::ReadConfig, "read_config"),
    (StoreReason::CheckConfig, "check_config"),
    (StoreReason::WatchConfig, "watch_config"),
    (StoreReason::OperatorRead, "operator_read"),
    (StoreReason::OperatorWrite, "operator_write"),
];

/// Counts the calls to the store by reason.
#[derive(Debug, Default)]
pub struct StoreCalls {
    calls: [AtomicU64; REASONS.len()],
    failed: AtomicU64,
}

impl StoreCalls {
    pub(super) fn note(&self, reason: StoreReason) {
        self.calls[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn note_failed(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }

    /// All counts by name.
    pub fn to_json(&self) -> Value {
        let mut counts = Map::new();
        for (reason, name) in REASONS {
            let count = self.calls[reason as usize].load(Ordering::Relaxed);
            counts.insert(name.to_owned(), json!(count));
        }
        let failed = self.failed.load(Ordering::Relaxed);
        counts.insert("failed".to_owned(), json!(failed));
        Value::Object(counts)
    }
}
