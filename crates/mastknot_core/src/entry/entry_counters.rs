use std::collections::BTreeMap;

use serde::Serialize;

use crate::message::{FailReason, RefusalReason};

/// What an entry counts besides its dispatcher.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EntryCounters {
    /// Submissions accepted here.
    pub accepted: u64,
    /// Resubmissions that met their first copy.
    pub resubmitted: u64,
    /// Submissions completed here.
    pub completed: u64,
    /// Submissions that failed here, by reason.
    pub failed: BTreeMap<FailReason, u64>,
    /// Refusals given here, by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
    /// Submissions sent on to their holder.
    pub forwarded: u64,
    /// Replies of holders that matched no open request.
    pub unmatched_replies: u64,
    /// Questions to earlier holders.
    pub keys_asked: u64,
    /// Answers rebuilt from what sides remember.
    pub rebuilt: u64,
    /// Rebuilds that ended in "unknown".
    pub rebuild_failed: u64,
    /// Submissions taken over at a peer's planned stop.
    pub taken_over: u64,
    /// Configuration deltas sent to sides.
    pub config_sent: u64,
}
