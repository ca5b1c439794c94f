use std::sync::Arc;

use bincode::de::Decoder;
use bincode::error::DecodeError;
use bincode::{Decode, Encode};

use super::{
    Capacity, DocumentPart, DocumentRequest, EntryUpdate, JobCancel, JobClaim, JobId, KnownEntry,
    LinkFeatures, RunId, TargetProfile, TaskKind, WaitingNeed,
};
use crate::types::{Hall, Incarnation, NodeName};

/// First message that an entry sends on a link.
#[derive(Clone, Debug, PartialEq, Eq, Encode)]
pub struct EntryWelcome {
    /// Name of the entry.
    pub entry: NodeName,
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// Hall of the entry, normally also the hall of its callers.
    pub hall: Hall,
    /// Last known profile of the side's target, for a side that has just started.
    pub remembered_target: Option<TargetProfile>,
    /// State of the entry that the side may lack and can ask for.
    pub update: EntryUpdate,
    /// Optional messages that the entry can read.
    pub features: LinkFeatures,
}

impl<Context> Decode<Context> for EntryWelcome {
    fn decode<D: Decoder<Context = Context>>(decoder: &mut D) -> Result<Self, DecodeError> {
        Ok(Self {
            entry: Decode::decode(decoder)?,
            incarnation: Decode::decode(decoder)?,
            hall: Decode::decode(decoder)?,
            remembered_target: Decode::decode(decoder)?,
            update: Decode::decode(decoder)?,
            features: LinkFeatures::decode_last(decoder)?,
        })
    }
}

bincode::impl_borrow_decode!(EntryWelcome);

/// Order to start a task.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct StartOrder {
    /// Identifier of the run.
    pub run: RunId,
    /// Input that the target receives.
    pub payload: Arc<str>,
    /// Capacity that the task requires.
    pub required_capacity: Capacity,
    /// Estimated run time, in milliseconds.
    pub estimate_ms: u32,
    /// Kind of the task, shared by tasks that run the same program.
    pub kind: TaskKind,
    /// Run time after which targets crashed under tasks of this kind, in milliseconds, if the kind
    /// is contained. Until that time has passed, no task of a contained kind from another job is
    /// started beside this one.
    pub kind_crashed_after_ms: Option<u32>,
    /// Run time after which a target crashed under this task, in milliseconds, if one has.
    pub crashed_after_ms: Option<u32>,
    /// Urgency rank; 0 is the most urgent.
    pub rank: u8,
    /// Longest time that the start may wait for free capacity at the side, in milliseconds. At 0
    /// the side refuses the start if it has no capacity now.
    pub may_wait_ms: u32,
    /// Highest report number that the entry has received. The side decides on the start with the
    /// entry's lease counted from that report.
    pub last_received: u64,
}

/// Run that an entry takes over from an earlier incarnation of a side.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AdoptedRun {
    /// Identifier of the run.
    pub run: RunId,
    /// Capacity that the run requires.
    pub required_capacity: Capacity,
    /// Estimated run time, in milliseconds.
    pub estimate_ms: u32,
    /// Kind of the task, shared by tasks that run the same program.
    pub kind: TaskKind,
}

/// Message from an entry to a side.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum EntryOrder {
    /// First message on the link.
    Welcome(EntryWelcome),
    /// Claims these runs, which the side listed, for this entry.
    Adopt(Vec<AdoptedRun>),
    /// Starts a task.
    Start(StartOrder),
    /// Stops a run.
    Stop(RunId),
    /// Shows that the entry is alive. The entry's lease at the side counts from the moment at which
    /// the side sent the report with the number `last_received`.
    Heartbeat {
        /// Highest report number that the entry has received.
        last_received: u64,
        /// Work that waits at the entry for capacity.
        need: Option<WaitingNeed>,
        /// State that the side may ask for, if it has changed since the entry last sent it.
        update: Option<EntryUpdate>,
    },
    /// Puts the link on standby: the entry orders no starts until it activates the link again, both
    /// ends send little, and no lease counts on the link.
    Standby,
    /// Ends the standby. Starts may follow once the entry has confirmed a report that was sent
    /// after this message.
    Activate,
    /// Known entries, in answer to a side's request.
    Entries(Vec<KnownEntry>),
    /// Requests a part of the configuration that the side holds.
    FetchDocument(DocumentRequest),
    /// Part of the configuration, in answer to a side's request.
    DocumentPart(DocumentPart),
    /// Claims a job, or renews the claim.
    Claim(JobClaim),
    /// Releases the claim of a job of which nothing runs for this entry any more, so that other
    /// entries may claim it.
    ReleaseClaim(JobId),
    /// Cancels a job at all entries. Sent only to sides that have announced [`LinkFeatures::has_cancels`].
    Cancel(JobCancel),
}
