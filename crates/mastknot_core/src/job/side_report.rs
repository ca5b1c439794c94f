use std::sync::Arc;
use std::time::Duration;

use bincode::de::Decoder;
use bincode::error::DecodeError;
use bincode::{Decode, Encode};

use super::{
    CancelAnswer, Capacity, CapacityGrant, ClaimAnswer, DocumentPart, DocumentRequest,
    DrainedHalls, EndOfRun, JobId, LinkFeatures, RunId, SideLoad, TargetCrash, TargetProfile,
};
use crate::types::{Hall, Incarnation, NodeName};

/// First message that a side sends on a link.
#[derive(Clone, Debug, PartialEq, Eq, Encode)]
pub struct SideHello {
    /// Name of the side.
    pub side: NodeName,
    /// Incarnation of the side.
    pub incarnation: Incarnation,
    /// Hall of the side.
    pub hall: Hall,
    /// Version of the configuration that the side holds; 0 for none.
    pub config_version: u64,
    /// Halls that are drained, as far as the side knows.
    pub drained: Arc<DrainedHalls>,
    /// Optional messages that the side can read.
    pub features: LinkFeatures,
}

impl<Context> Decode<Context> for SideHello {
    fn decode<D: Decoder<Context = Context>>(decoder: &mut D) -> Result<Self, DecodeError> {
        Ok(Self {
            side: Decode::decode(decoder)?,
            incarnation: Decode::decode(decoder)?,
            hall: Decode::decode(decoder)?,
            config_version: Decode::decode(decoder)?,
            drained: Decode::decode(decoder)?,
            features: LinkFeatures::decode_last(decoder)?,
        })
    }
}

bincode::impl_borrow_decode!(SideHello);

/// A run that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EndedRun {
    /// Identifier of the run.
    pub run: RunId,
    /// Outcome of the run.
    pub end: EndOfRun,
    /// Run time, in milliseconds.
    pub ran_ms: u32,
}

impl EndedRun {
    /// Returns the run time.
    pub fn ran(&self) -> Duration {
        Duration::from_millis(u64::from(self.ran_ms))
    }
}

/// Readiness of a target for work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub enum TargetCondition {
    /// No target is known, or the target does not answer.
    #[default]
    Absent,
    /// The target accepts work.
    Ready,
    /// The target has failed several runs in a row and gets one run at a time.
    Probation,
    /// The target is leaving.
    Draining,
}

impl TargetCondition {
    /// Returns whether the target may be given work.
    pub fn takes_work(self) -> bool {
        matches!(self, Self::Ready | Self::Probation)
    }
}

/// State of a side and its target, as reported to one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct SideStatus {
    /// Number of this report; it rises with each report.
    pub number: u64,
    /// Number of this entry's starts on this link that the report takes into account.
    pub starts_included: u64,
    /// Capacity that this entry may use for starts now.
    pub free: Capacity,
    /// Capacity that is also free but that this entry may not use, where capacity is granted.
    pub withheld: Capacity,
    /// Whether part of `free` is reserved for this entry until its next heartbeat.
    pub is_offer: bool,
    /// Part of `free` that is granted to this entry exclusively, where capacity is granted.
    pub grant: Option<CapacityGrant>,
    /// Work that waits for the side. Present where capacity is granted and work waits or has just
    /// stopped waiting.
    pub load: Option<SideLoad>,
    /// Readiness of the target for work.
    pub condition: TargetCondition,
    /// Whether the link is on standby, so that the entry must not order starts.
    pub is_standby: bool,
    /// Whether the target is temporarily slower than usual because it has just started or was idle.
    pub is_cold: bool,
    /// Recent run times relative to their estimates, in percent.
    pub slowdown_percent: u32,
    /// Profile of the target, if it has changed since the last report on this link.
    pub target: Option<TargetProfile>,
    /// Runs of this entry that have ended.
    pub ended: Vec<EndedRun>,
    /// Version of the configuration that the side holds, if it has changed since the last report on
    /// this link.
    pub config_version: Option<u64>,
    /// The drained halls, if the entry is not known to have received them.
    pub drained: Option<Arc<DrainedHalls>>,
}

/// Message from a side to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum SideReport {
    /// First message on the link.
    Hello(SideHello),
    /// Answer to the entry's welcome. Any other run that the entry has ordered at this side is over
    /// or never began.
    Resume {
        /// Runs that continue. A side that has restarted lists those of all entries.
        running: Vec<RunId>,
        /// Runs that have ended and may not have been reported.
        ended: Vec<EndedRun>,
        /// Whether the side grants claims of new jobs. If not, it sends [`SideReport::TakesClaims`]
        /// once it does.
        takes_claims: bool,
    },
    /// The side grants claims of new jobs from now on: the entries have renewed the claims that
    /// they held before the side started.
    TakesClaims,
    /// State of the side and its target.
    Status(SideStatus),
    /// An incarnation of the target has ended by a crash. The side sends this to all entries,
    /// including those that had no runs there.
    TargetCrashed(TargetCrash),
    /// Requests the entries that the entry knows.
    FetchEntries,
    /// Requests a part of the entry's configuration.
    FetchDocument(DocumentRequest),
    /// Part of the configuration, in answer to an entry's request.
    DocumentPart(DocumentPart),
    /// Answer to an entry's claim of a job.
    Claim {
        /// Identifier of the job.
        job: JobId,
        /// State of the claim.
        answer: ClaimAnswer,
    },
    /// Answer to an entry's cancel of a job.
    Cancel {
        /// Identifier of the job.
        job: JobId,
        /// Result of the cancel at this side.
        answer: CancelAnswer,
    },
}
