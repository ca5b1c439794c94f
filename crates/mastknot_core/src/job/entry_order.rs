use std::sync::Arc;

use bincode::{Decode, Encode};

use super::{
    Capacity, DocumentPart, DocumentRequest, EntryUpdate, JobClaim, JobId, KnownEntry, RunId,
    TargetProfile, TaskKind, WaitingNeed,
};
use crate::types::{Hall, Incarnation, NodeName};

/// An entry's first message on a link.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EntryWelcome {
    /// The entry.
    pub entry: NodeName,
    /// Its run.
    pub incarnation: Incarnation,
    /// The hall that it stands in: its callers' hall as a rule.
    pub hall: Hall,
    /// What it last knew of the side's target, for a side that has just started.
    pub remembered_target: Option<TargetProfile>,
    /// What the side may ask it for.
    pub update: EntryUpdate,
}

/// Starts a task.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct StartOrder {
    /// The run.
    pub run: RunId,
    /// What the target is given.
    pub payload: Arc<str>,
    /// What the task takes.
    pub required_capacity: Capacity,
    /// A guess of its time, in milliseconds.
    pub estimate_ms: u32,
    /// What it has in common with tasks that run the same program.
    pub kind: TaskKind,
    /// After what time targets crashed under tasks of its kind, in milliseconds, if the kind is contained: until then no
    /// other job's task of a contained kind is started beside it.
    pub kind_crashed_after_ms: Option<u32>,
    /// After what time a target crashed under its task, in milliseconds, if one has.
    pub crashed_after_ms: Option<u32>,
    /// How urgent it is; 0 is the most urgent.
    pub rank: u8,
    /// How long it may wait for room at the side, in milliseconds; 0: it is turned away if there is none.
    pub may_wait_ms: u32,
    /// The highest report number that the entry has received: its lease counts from there when the start is judged.
    pub last_received: u64,
}

/// A run that an entry takes over from a side's earlier life.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AdoptedRun {
    /// The run.
    pub run: RunId,
    /// What it takes.
    pub required_capacity: Capacity,
    /// A guess of its time, in milliseconds.
    pub estimate_ms: u32,
    /// What it has in common with tasks that run the same program.
    pub kind: TaskKind,
}

/// What an entry says to a side.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum EntryOrder {
    /// The first message.
    Welcome(EntryWelcome),
    /// These runs, which the side listed, are this entry's.
    Adopt(Vec<AdoptedRun>),
    /// Start a task.
    Start(StartOrder),
    /// Stop a run.
    Stop(RunId),
    /// The entry lives. Its lease at the side counts from the moment at which the side sent the
    /// report with this number.
    Heartbeat {
        /// The highest report number that the entry has received.
        last_received: u64,
        /// What waits at the entry for room.
        need: Option<WaitingNeed>,
        /// What the side may ask for, if that has changed since it was told.
        update: Option<EntryUpdate>,
    },
    /// No start comes from this entry until it says otherwise: both ends say little on this link, and
    /// no lease counts on it.
    Standby,
    /// Starts may come again, once the entry has confirmed a report that was sent after this.
    Activate,
    /// The entries that are known, for a side that has asked.
    Entries(Vec<KnownEntry>),
    /// Asks for a part of the configuration that the side holds.
    FetchDocument(DocumentRequest),
    /// A part of the configuration, for a side that has asked.
    DocumentPart(DocumentPart),
    /// Claims a job, or renews the claim.
    Claim(JobClaim),
    /// Nothing of a job runs for this entry any more: others may claim it.
    ReleaseClaim(JobId),
}
