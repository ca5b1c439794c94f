use std::sync::Arc;
use std::time::Duration;

use bincode::{Decode, Encode};

use super::{
    Capacity, CapacityGrant, ClaimAnswer, DocumentPart, DocumentRequest, DrainedHalls, EndOfRun,
    JobId, RunId, SideLoad, TargetCrash, TargetProfile,
};
use crate::types::{Hall, Incarnation, NodeName};

/// A side's first message on a link.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct SideHello {
    /// The side.
    pub side: NodeName,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its hall.
    pub hall: Hall,
    /// The version of the configuration that it holds, 0 for none.
    pub config_version: u64,
    /// The halls that are drained, as far as it knows.
    pub drained: Arc<DrainedHalls>,
}

/// A run that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EndedRun {
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub end: EndOfRun,
    /// How long it ran, in milliseconds.
    pub ran_ms: u32,
}

impl EndedRun {
    /// How long it ran.
    pub fn ran(&self) -> Duration {
        Duration::from_millis(u64::from(self.ran_ms))
    }
}

/// Whether a target takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub enum TargetCondition {
    /// No target is known or it does not answer.
    #[default]
    Absent,
    /// It takes work.
    Ready,
    /// It has failed several runs in a row and gets one at a time.
    Probation,
    /// It is leaving.
    Draining,
}

impl TargetCondition {
    /// Whether work may be given to the target.
    pub fn takes_work(self) -> bool {
        matches!(self, Self::Ready | Self::Probation)
    }
}

/// How a side's target stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct SideStatus {
    /// The number of this report; it rises.
    pub number: u64,
    /// How many starts of this entry on this link the figures below include.
    pub starts_included: u64,
    /// What this entry may start now.
    pub free: Capacity,
    /// What is free besides, and not this entry's to start, where room is granted.
    pub withheld: Capacity,
    /// Whether some of it is kept for this entry, until its next heartbeat.
    pub is_offer: bool,
    /// What of it is granted to this entry alone, where room is granted.
    pub grant: Option<CapacityGrant>,
    /// What waits at the side, where room is granted and something waits or has just ceased to.
    pub load: Option<SideLoad>,
    /// Whether it takes work.
    pub condition: TargetCondition,
    /// Whether the link is on standby: the entry must not order starts.
    pub is_standby: bool,
    /// Whether the target is slower than usual for a while: it has just started or stood without work.
    pub is_cold: bool,
    /// Recent run times against their estimates, in percent.
    pub slowdown_percent: u32,
    /// The target, when it has changed since the last report on this link.
    pub target: Option<TargetProfile>,
    /// Runs of this entry that have ended.
    pub ended: Vec<EndedRun>,
    /// The version of the configuration that the side holds, if that has changed since the last
    /// report on this link.
    pub config_version: Option<u64>,
    /// The halls that are drained, if the entry is not known to have heard it.
    pub drained: Option<Arc<DrainedHalls>>,
}

/// What a side says to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum SideReport {
    /// The first message.
    Hello(SideHello),
    /// After the entry's welcome: the runs that go on, and those that have ended. Any other run
    /// that the entry has ordered here is over or never began.
    Resume {
        /// Runs that go on; of a side that has restarted, those of all entries.
        running: Vec<RunId>,
        /// Runs that have ended and may not have been reported.
        ended: Vec<EndedRun>,
        /// Whether the side grants claims of new jobs. If not it says so once it does.
        takes_claims: bool,
    },
    /// From now on the side grants claims of new jobs: entries have claimed again what they had before it started.
    TakesClaims,
    /// How the target stands.
    Status(SideStatus),
    /// A life of the target has ended by a crash. All entries are told, whose runs there were or not.
    TargetCrashed(TargetCrash),
    /// Asks for the entries that the entry knows.
    FetchEntries,
    /// Asks for a part of the entry's configuration.
    FetchDocument(DocumentRequest),
    /// A part of the configuration, for an entry that has asked.
    DocumentPart(DocumentPart),
    /// Says to an entry how its claim of a job stands.
    Claim {
        /// The job.
        job: JobId,
        /// How it stands.
        answer: ClaimAnswer,
    },
}
