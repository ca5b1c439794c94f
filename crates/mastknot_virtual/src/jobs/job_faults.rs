use std::time::Duration;

use super::TargetBehaviour;

/// Which way a link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Nothing arrives from the entry.
    ToSide,
    /// Nothing arrives from the side.
    ToEntry,
    /// Nothing arrives.
    Both,
}

/// Something that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobFault {
    /// An entry is killed and starts again.
    KillEntry {
        /// The entry.
        entry: usize,
        /// For how long it is gone.
        down: Duration,
    },
    /// An entry stands still.
    PauseEntry {
        /// The entry.
        entry: usize,
        /// For how long.
        time: Duration,
    },
    /// An entry's VM is suspended: as a freeze, but a steady clock stands still meanwhile.
    SuspendEntry {
        /// The entry.
        entry: usize,
        /// For how long.
        time: Duration,
    },
    /// A side's VM is suspended; its target runs on.
    SuspendSide {
        /// The side.
        side: usize,
        /// For how long.
        time: Duration,
    },
    /// A side is killed and starts again; its target runs on.
    KillSide {
        /// The side.
        side: usize,
        /// For how long it is gone.
        down: Duration,
    },
    /// A side stands still; its target runs on.
    PauseSide {
        /// The side.
        side: usize,
        /// For how long.
        time: Duration,
    },
    /// A link carries nothing; what was sent arrives when the cut is over.
    PartitionLink {
        /// The entry.
        entry: usize,
        /// The side.
        side: usize,
        /// Which way.
        direction: Direction,
        /// For how long.
        time: Duration,
    },
    /// A link is reset; what was on its way is lost.
    ResetLink {
        /// The entry.
        entry: usize,
        /// The side.
        side: usize,
    },
    /// A link carries nothing any more, for good and without a reset; a new one works.
    SilenceLink {
        /// The entry.
        entry: usize,
        /// The side.
        side: usize,
    },
    /// An entry's link carries a tenth of what it usually does.
    ThrottleEntry {
        /// The entry.
        entry: usize,
        /// For how long.
        time: Duration,
    },
    /// A target dies with all that runs on it and comes again as another life.
    CrashTarget {
        /// The target's side.
        side: usize,
        /// For how long it is gone.
        down: Duration,
        /// Whether it is silent meanwhile, in place of refusing connections.
        is_silent: bool,
    },
    /// What a target reports of itself is held up, and arrives when this is over.
    DelayReports {
        /// The target's side.
        side: usize,
        /// For how long.
        time: Duration,
    },
    /// A target has less room, or more, for a while; what runs goes on.
    Resize {
        /// The target's side.
        side: usize,
        /// Its processor, in thousandths of a core.
        cpu_millis: u32,
        /// For how long.
        time: Duration,
    },
    /// A target behaves badly for a while.
    Misbehave {
        /// The target's side.
        side: usize,
        /// How.
        behaviour: TargetBehaviour,
        /// For how long.
        time: Duration,
    },
    /// What callers send to an entry is held up, and arrives when this is over: requests, and behind them the
    /// departures of callers that have left meanwhile.
    DelayRequests {
        /// The entry.
        entry: usize,
        /// For how long.
        time: Duration,
    },
    /// The connections of an entry's callers break on the callers' side alone: the entry is told nothing.
    BreakCallers {
        /// The entry.
        entry: usize,
    },
    /// An entry stands still, and reads the requests that came meanwhile when it wakes, the departures of their
    /// callers behind them.
    StallEntry {
        /// The entry.
        entry: usize,
        /// For how long.
        time: Duration,
    },
}

/// A fault and when it strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobFaultPlan {
    /// Since the start.
    pub at: Duration,
    /// The fault.
    pub fault: JobFault,
}
