use std::collections::BTreeMap;

use serde::Serialize;

use crate::message::{FailReason, RefusalReason};

/// Counters of an entry, apart from those of its dispatcher.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EntryCounters {
    /// Submissions accepted by this entry.
    pub accepted: u64,
    /// Resubmissions of a key that this entry already knew.
    pub resubmitted: u64,
    /// Submissions completed by this entry.
    pub completed: u64,
    /// Submissions that failed at this entry, by reason.
    pub failed: BTreeMap<FailReason, u64>,
    /// Refusals by this entry, by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
    /// Requests forwarded to the owner of their key.
    pub forwarded: u64,
    /// Replies of other entries that matched no open request.
    pub unmatched_replies: u64,
    /// Queries to earlier owners of a key.
    pub keys_asked: u64,
    /// Answers rebuilt from the results that sides remember.
    pub rebuilt: u64,
    /// Rebuilds that ended with an unknown outcome.
    pub rebuild_failed: u64,
    /// Submissions taken over from peers at their planned stop.
    pub taken_over: u64,
    /// Configuration deltas sent to sides.
    pub config_sent: u64,
}
