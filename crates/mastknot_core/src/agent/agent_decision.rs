use crate::job::{EndOfRun, JobId, NotRunCause, RunId, TargetCondition, TargetCrash, TargetId};
use crate::types::{Hall, NodeName};

/// Why a side ended an entry's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEndCause {
    /// Nothing newer was heard for the whole lease.
    Silence,
    /// The entry has started anew.
    Restarted,
}

/// One decision of a side, for the logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentDecision {
    /// An order was turned away.
    TurnedAway {
        /// The run.
        run: RunId,
        /// Why.
        cause: NotRunCause,
        /// The free processor, in thousandths of a core.
        free_cpu_millis: u32,
    },
    /// A run ended.
    RunEnded {
        /// The run.
        run: RunId,
        /// How.
        end: EndOfRun,
        /// How long it ran, in milliseconds.
        ran_ms: u32,
    },
    /// A run is stopped.
    Stopping {
        /// The run.
        run: RunId,
        /// What its end will be called.
        end: EndOfRun,
        /// Its progress in percent.
        percent: u8,
    },
    /// An order got no answer.
    OrderUnanswered {
        /// The run.
        run: RunId,
    },
    /// An order to stop got no acknowledgement: the run may go on.
    StopUnanswered {
        /// The run.
        run: RunId,
        /// How often it has been sent.
        times: u32,
        /// Since it was sent first, in milliseconds.
        since_ms: u64,
    },
    /// The target lists a run that no entry has here: it is stopped.
    Unclaimed {
        /// The run.
        run: RunId,
        /// Its progress in percent.
        percent: u8,
    },
    /// An entry's lease ended.
    LeaseEnded {
        /// The entry.
        entry: NodeName,
        /// Why.
        cause: LeaseEndCause,
        /// The age of the last confirmed report, in milliseconds.
        age_ms: u64,
        /// The runs that are stopped.
        runs: usize,
    },
    /// An entry has to wait for a job: another one has claimed it.
    ClaimWaits {
        /// The job.
        job: JobId,
        /// The entry that waits.
        entry: NodeName,
        /// The entry that has it.
        holder: NodeName,
    },
    /// The entries have had time to claim again what this side had granted them before it started.
    ClaimGraceEnded {
        /// Claims of other jobs that came before.
        early_claims: usize,
    },
    /// An entry's link stands and its runs are settled.
    EntryJoined {
        /// The entry.
        entry: NodeName,
    },
    /// Free room is kept for one entry.
    Offered {
        /// The entry.
        entry: NodeName,
        /// Its callers' hall.
        hall: Hall,
        /// The processor that is kept, in thousandths of a core.
        cpu_millis: u32,
        /// How urgent its need is; 0 is the most urgent.
        rank: u8,
        /// What it needs, in thousandths of a core.
        needed_cpu_millis: u32,
    },
    /// Room is granted to one entry: what is free, or comes free soon.
    Granted {
        /// The entry.
        entry: NodeName,
        /// The processor, in thousandths of a core.
        cpu_millis: u32,
        /// Whether nothing is known to wait for it.
        is_standing: bool,
    },
    /// A start waits for room that is expected soon.
    StartQueued {
        /// The run.
        run: RunId,
        /// How urgent it is; 0 is the most urgent.
        rank: u8,
        /// How long it may wait, in milliseconds.
        may_wait_ms: u32,
    },
    /// A start that has waited is ordered.
    QueuedStartServed {
        /// The run.
        run: RunId,
        /// How long it has waited, in milliseconds.
        waited_ms: u32,
    },
    /// The target's condition changed.
    ConditionChanged {
        /// The target, if one is known.
        target: Option<TargetId>,
        /// Its condition.
        condition: TargetCondition,
    },
    /// Operators have drained this side's hall, or returned it.
    HallDrained {
        /// Whether it is drained now.
        is_drained: bool,
        /// The store's revision at which this was so.
        revision: u64,
        /// Runs that go on.
        runs: usize,
    },
    /// Other weights of halls are in force here.
    ShareWeights {
        /// The store's revision that they are of.
        revision: u64,
        /// How many halls they name.
        halls: usize,
    },
    /// The next life of a target answers under the name of the known one.
    TargetRestarted {
        /// The life that is over.
        target: TargetId,
        /// Runs of which the next life may have taken the order: they are stopped.
        stopped: usize,
    },
    /// A life of the target has ended by a crash.
    TargetCrashed(TargetCrash),
    /// A new fencing token is in use.
    TokenTaken {
        /// The token.
        token: u64,
        /// Runs of an earlier life that were found.
        survivors: usize,
    },
    /// A report of the target was not taken: it is late, or of a life that is over.
    LateReport {
        /// The life that it is of.
        target: TargetId,
    },
    /// What was remembered of the target was of another life than the one that answers: it is forgotten.
    WrongProfile {
        /// The life that it was of.
        target: TargetId,
    },
    /// Another life of the target has reported; a look will tell whether the known one is over.
    OtherIncarnation {
        /// The life that reported.
        target: TargetId,
    },
    /// A look failed.
    ProbeFailed {
        /// How many in a row.
        in_a_row: u32,
    },
}
