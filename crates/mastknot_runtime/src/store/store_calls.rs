use std::sync::atomic::{AtomicU64, Ordering};

use serde_json::{Map, Value, json};

/// Reason for a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreReason {
    /// Renewal of an entry's authority.
    RenewAuthority,
    /// Change of the roster.
    ChangeRoster,
    /// Read of the complete configuration.
    ReadConfig,
    /// Check whether a watch has missed a change of the configuration.
    CheckConfig,
    /// Opening of a watch on the configuration.
    WatchConfig,
    /// Read of a resource by an operator.
    OperatorRead,
    /// Write of a resource by an operator.
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

/// Counts the calls to the store by reason, and the failed ones.
#[derive(Debug, Default)]
pub struct StoreCalls {
    calls: [AtomicU64; REASONS.len()],
    failed: AtomicU64,
}

impl StoreCalls {
    pub(super) fn record(&self, reason: StoreReason) {
        self.calls[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn record_failed(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns all counts as a JSON object, by name.
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
