use std::collections::{BTreeSet, HashMap};

use mastknot_core::entry::{EntryCore, EntrySettings};
use mastknot_core::message::Payload;
use mastknot_core::side::{SideCore, SideSettings};
use mastknot_core::types::{Hall, Incarnation, NodeName, TaskId};

/// Index of an entry, in the order in which entries were added.
pub type EntryIndex = usize;
/// Index of a side, in the order in which sides were added.
pub type SideIndex = usize;

/// Process of an entry.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) settings: EntrySettings,
    /// Decision core; `None` while the process is dead.
    pub(super) core: Option<EntryCore>,
    /// Time until which the process is paused, in microseconds.
    pub(super) paused_until: u64,
    /// Time of the next planned tick, in microseconds.
    pub(super) tick_at: Option<u64>,
    /// Offset of the wall clock from the true time, in milliseconds; positive if the clock is ahead.
    pub(super) skew_ms: i64,
    /// Configuration version that the feed has last delivered.
    pub(super) delivered_version: u64,
    pub(super) stopped: bool,
}

impl Entry {
    pub(super) fn name(&self) -> &NodeName {
        &self.settings.me.id.name
    }

    pub(super) fn incarnation(&self) -> Incarnation {
        self.settings.me.id.incarnation
    }

    pub(super) fn hall(&self) -> &Hall {
        &self.settings.me.hall
    }
}

/// Process of a side, with its target.
#[derive(Clone, Debug)]
pub(super) struct Side {
    pub(super) settings: SideSettings,
    /// Decision core; `None` while the process is dead.
    pub(super) core: Option<SideCore>,
    pub(super) paused_until: u64,
    pub(super) tick_at: Option<u64>,
    /// Current runs of the target by task, each with its number and the bytes of the task.
    pub(super) runs: HashMap<TaskId, (u64, Payload)>,
    pub(super) next_run: u64,
    /// Run time of a task on this target, in percent of the time that the task asks for.
    pub(super) slow_percent: u64,
    /// Whether the target refuses every connection.
    pub(super) is_refusing: bool,
    /// Number of following answers of the target that are lost.
    pub(super) lose_answers: u32,
    /// Time at which the side began to leave, in microseconds.
    pub(super) leaving_since: Option<u64>,
    /// Names of the entries that have a link to the side.
    pub(super) links: BTreeSet<NodeName>,
}
