use std::collections::{BTreeSet, HashMap};

use mastknot_core::entry::{EntryCore, EntrySettings};
use mastknot_core::message::Payload;
use mastknot_core::side::{SideCore, SideSettings};
use mastknot_core::types::{Hall, Incarnation, NodeName, TaskId};

/// Which entry.
pub type EntryIndex = usize;
/// Which side.
pub type SideIndex = usize;

/// One entry process.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) settings: EntrySettings,
    /// None while the process is dead.
    pub(super) core: Option<EntryCore>,
    /// Until when the process is paused.
    pub(super) paused_until: u64,
    /// When its next tick is planned.
    pub(super) tick_at: Option<u64>,
    /// How far its wall clock is ahead, in milliseconds.
    pub(super) skew_ms: i64,
    /// The configuration feed: the version that its watch has told.
    pub(super) fed_version: u64,
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

/// One side process with its target.
#[derive(Clone, Debug)]
pub(super) struct Side {
    pub(super) settings: SideSettings,
    /// None while the process is dead.
    pub(super) core: Option<SideCore>,
    pub(super) paused_until: u64,
    pub(super) tick_at: Option<u64>,
    /// Runs of the target that were not stopped, by task, with the task's bytes.
    pub(super) runs: HashMap<TaskId, (u64, Payload)>,
    pub(super) next_run: u64,
    /// The time of a task on this target, in percent of what it asks for.
    pub(super) slow_percent: u64,
    /// The target refuses every connection.
    pub(super) is_refusing: bool,
    /// The target's next answers are lost: this many.
    pub(super) lose_answers: u32,
    /// Since when it leaves.
    pub(super) leaving_since: Option<u64>,
    /// The entries with a link to it.
    pub(super) links: BTreeSet<NodeName>,
}
