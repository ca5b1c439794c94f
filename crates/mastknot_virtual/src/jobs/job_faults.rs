use std::time::Duration;

use super::TargetBehaviour;

/// Direction in which a link is disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// The side receives nothing from the entry.
    ToSide,
    /// The entry receives nothing from the side.
    ToEntry,
    /// Neither end receives anything.
    Both,
}

/// Fault that a test schedules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobFault {
    /// An entry is killed and starts again.
    KillEntry {
        /// Index of the entry.
        entry: usize,
        /// Time until the process or target starts again.
        downtime: Duration,
    },
    /// An entry is paused; its clock continues to run.
    PauseEntry {
        /// Index of the entry.
        entry: usize,
        /// Duration of the fault.
        time: Duration,
    },
    /// The VM of an entry is suspended. Unlike in a pause, a steady clock stops meanwhile.
    SuspendEntry {
        /// Index of the entry.
        entry: usize,
        /// Duration of the fault.
        time: Duration,
    },
    /// The VM of a side is suspended; its target continues to run.
    SuspendSide {
        /// Index of the side.
        side: usize,
        /// Duration of the fault.
        time: Duration,
    },
    /// A side is killed and starts again; its target continues to run.
    KillSide {
        /// Index of the side.
        side: usize,
        /// Time until the process or target starts again.
        downtime: Duration,
    },
    /// A side is paused; its target continues to run.
    PauseSide {
        /// Index of the side.
        side: usize,
        /// Duration of the fault.
        time: Duration,
    },
    /// A link delivers nothing. Messages sent meanwhile arrive when the fault is over.
    PartitionLink {
        /// Index of the entry.
        entry: usize,
        /// Index of the side.
        side: usize,
        /// Direction in which messages are held back.
        direction: Direction,
        /// Duration of the fault.
        time: Duration,
    },
    /// A link is reset, and messages under way are lost.
    ResetLink {
        /// Index of the entry.
        entry: usize,
        /// Index of the side.
        side: usize,
    },
    /// A link delivers nothing from then on, without a reset. A new link works.
    SilenceLink {
        /// Index of the entry.
        entry: usize,
        /// Index of the side.
        side: usize,
    },
    /// The link of an entry has a tenth of its usual bandwidth.
    ThrottleEntry {
        /// Index of the entry.
        entry: usize,
        /// Duration of the fault.
        time: Duration,
    },
    /// A target crashes with all its runs and starts again as a new incarnation.
    CrashTarget {
        /// Index of the target's side.
        side: usize,
        /// Time until the process or target starts again.
        downtime: Duration,
        /// Whether the target is silent while it is down. Otherwise it refuses connections.
        is_silent: bool,
    },
    /// The reports of a target are delayed and arrive when the fault is over.
    DelayReports {
        /// Index of the target's side.
        side: usize,
        /// Duration of the fault.
        time: Duration,
    },
    /// The capacity of a target changes for a time; current runs continue.
    Resize {
        /// Index of the target's side.
        side: usize,
        /// Processor capacity, in thousandths of a core.
        cpu_millis: u32,
        /// Duration of the fault.
        time: Duration,
    },
    /// A target misbehaves for a time.
    Misbehave {
        /// Index of the target's side.
        side: usize,
        /// Behaviour of the target meanwhile.
        behaviour: TargetBehaviour,
        /// Duration of the fault.
        time: Duration,
    },
    /// Messages of callers to an entry are delayed and arrive when the fault is over: requests, and behind
    /// them the departures of callers that have left meanwhile.
    DelayRequests {
        /// Index of the entry.
        entry: usize,
        /// Duration of the fault.
        time: Duration,
    },
    /// The connections of an entry's callers break at the callers' end alone; the entry receives no notice.
    BreakCallers {
        /// Index of the entry.
        entry: usize,
    },
    /// An entry is paused. When it resumes, it reads the requests that arrived meanwhile and then the
    /// departures of their callers.
    StallEntry {
        /// Index of the entry.
        entry: usize,
        /// Duration of the fault.
        time: Duration,
    },
}

/// Fault with the time at which it occurs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobFaultPlan {
    /// Time since the start of the simulation.
    pub at: Duration,
    /// Fault that occurs.
    pub fault: JobFault,
}
