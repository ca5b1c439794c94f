use crate::job::{EndOfRun, JobId, NotRunCause, RunId, TargetCondition, TargetCrash, TargetId};
use crate::types::{Hall, NodeName};

/// Reason for which a side ended the lease of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEndCause {
    /// The entry confirmed no newer report for the whole length of the lease.
    Silence,
    /// The entry process has restarted.
    Restarted,
}

/// Decision of a side, reported for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentDecision {
    /// A start order was refused.
    TurnedAway {
        /// Run that was refused.
        run: RunId,
        /// Reason of the refusal.
        cause: NotRunCause,
        /// Free processor capacity, in thousandths of a core.
        free_cpu_millis: u32,
    },
    /// A run ended.
    RunEnded {
        /// Run that ended.
        run: RunId,
        /// Outcome of the run.
        end: EndOfRun,
        /// Time since the run was ordered, in milliseconds.
        ran_ms: u32,
    },
    /// The side has ordered the target to stop a run.
    Stopping {
        /// Run that is stopped.
        run: RunId,
        /// End that is reported for the run unless the target reports another one.
        end: EndOfRun,
        /// Progress of the run in percent.
        percent: u8,
    },
    /// The target did not answer an order to start.
    OrderUnanswered {
        /// Run that was ordered.
        run: RunId,
    },
    /// The target did not acknowledge an order to stop, so the run may continue.
    StopUnanswered {
        /// Run that is being stopped.
        run: RunId,
        /// Number of times that the order to stop has been sent.
        times: u32,
        /// Time since the order to stop was first sent, in milliseconds.
        since_ms: u64,
    },
    /// The target lists a run that no entry owns here. The side stops the run.
    Unclaimed {
        /// Run that the target lists.
        run: RunId,
        /// Progress of the run in percent.
        percent: u8,
    },
    /// The lease of an entry ended.
    LeaseEnded {
        /// Entry whose lease ended.
        entry: NodeName,
        /// Reason for the end of the lease.
        cause: LeaseEndCause,
        /// Age of the last report that the entry confirmed, in milliseconds.
        age_ms: u64,
        /// Number of runs that are stopped because of it.
        runs: usize,
    },
    /// An entry has to wait for a job because another entry has claimed it.
    ClaimWaits {
        /// Claimed job.
        job: JobId,
        /// Entry that waits for the claim.
        entry: NodeName,
        /// Entry that holds the claim.
        holder: NodeName,
    },
    /// An entry has cancelled a job, which is granted to nobody from now on.
    JobCancelled {
        /// Cancelled job.
        job: JobId,
        /// Entry that sent the cancel.
        entry: NodeName,
        /// Entry that holds the claim.
        holder: Option<NodeName>,
        /// Number of entries that waited for the claim.
        waiting: usize,
    },
    /// The time has ended in which entries repeat the claims that this side had granted before it
    /// started.
    ClaimGraceEnded {
        /// Number of claims of other jobs that arrived during this time.
        early_claims: usize,
    },
    /// An entry is linked and the runs of its earlier links are settled.
    EntryJoined {
        /// Entry that joined.
        entry: NodeName,
    },
    /// The side reserves free capacity for one entry.
    Offered {
        /// Entry that receives the offer.
        entry: NodeName,
        /// Hall of the entry's callers.
        hall: Hall,
        /// Reserved processor capacity, in thousandths of a core.
        cpu_millis: u32,
        /// Urgency of the entry's need; 0 is the most urgent.
        rank: u8,
        /// Processor capacity that the entry needs, in thousandths of a core.
        needed_cpu_millis: u32,
    },
    /// The side grants one entry capacity that is free or is expected to become free soon.
    Granted {
        /// Entry that receives the grant.
        entry: NodeName,
        /// Granted processor capacity, in thousandths of a core.
        cpu_millis: u32,
        /// Whether the grant was made although no waiting task is known to need it.
        is_standing: bool,
    },
    /// A start is queued until capacity that is expected soon becomes free.
    StartQueued {
        /// Run that is queued.
        run: RunId,
        /// Urgency of the start; 0 is the most urgent.
        rank: u8,
        /// Longest time that the start may wait, in milliseconds.
        may_wait_ms: u32,
    },
    /// A queued start was sent to the target.
    QueuedStartServed {
        /// Run that was ordered.
        run: RunId,
        /// Time that the start has waited, in milliseconds.
        waited_ms: u32,
    },
    /// The condition of the target changed.
    ConditionChanged {
        /// Target, if one is known.
        target: Option<TargetId>,
        /// New condition of the target.
        condition: TargetCondition,
    },
    /// Operators have drained the hall of this side or returned it to service.
    HallDrained {
        /// Whether the hall is drained now.
        is_drained: bool,
        /// Revision of the store at which the change was read.
        revision: u64,
        /// Number of runs that continue.
        runs: usize,
    },
    /// Different share weights of halls are in force on this side.
    ShareWeights {
        /// Revision of the store from which the weights come.
        revision: u64,
        /// Number of halls that the weights name.
        halls: usize,
    },
    /// A new incarnation of the target answers under the same name.
    TargetRestarted {
        /// Incarnation that has ended.
        target: TargetId,
        /// Number of runs that are stopped because the new incarnation may have received their
        /// orders.
        stopped: usize,
    },
    /// An incarnation of the target has ended by a crash.
    TargetCrashed(TargetCrash),
    /// The side uses a new fencing token.
    TokenTaken {
        /// New fencing token.
        token: u64,
        /// Number of runs found at the target that an earlier incarnation of this process had
        /// started.
        survivors: usize,
    },
    /// A report of the target was ignored because it is late or comes from an incarnation that has
    /// ended.
    LateReport {
        /// Incarnation that sent the report.
        target: TargetId,
    },
    /// The remembered profile describes another incarnation of the target than the one that
    /// answers, and was dropped.
    WrongProfile {
        /// Incarnation that the remembered profile describes.
        target: TargetId,
    },
    /// Another incarnation of the target has reported. A probe will show whether the known one has
    /// ended.
    OtherIncarnation {
        /// Incarnation that reported.
        target: TargetId,
    },
    /// A probe of the target failed.
    ProbeFailed {
        /// Number of probes that have failed in a row.
        in_a_row: u32,
    },
}
