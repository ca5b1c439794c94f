use std::sync::Arc;

use super::{CallerId, CompletionForecast};
use crate::job::{
    DrainedHalls, EndOfRun, JobAnswer, JobId, RunId, ShareWeights, TaskKind, TaskRef,
};
use crate::types::{Incarnation, NodeName};

/// One decision of an entry, for the logs.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerDecision {
    /// A job was taken.
    Taken {
        /// The job.
        job: JobId,
        /// The caller's name for the request.
        request_id: Arc<str>,
        /// Its queue.
        queue: Arc<str>,
        /// The kind of its first step's tasks.
        kind: TaskKind,
        /// The configuration that it was taken under.
        config_version: u64,
        /// How many tasks it has.
        tasks: usize,
        /// The time to its objective, in milliseconds.
        objective_ms: u64,
        /// The jobs that waited.
        waiting_jobs: usize,
    },
    /// A job came again while an earlier copy was here.
    Rejoined {
        /// The job.
        job: JobId,
        /// The caller's name for the new request.
        request_id: Arc<str>,
    },
    /// Another entry has claimed a job that was handed in here.
    ClaimHeld {
        /// The job.
        job: JobId,
        /// The caller's name for the request.
        request_id: Arc<str>,
        /// The side that was asked.
        side: NodeName,
        /// The entry that has it.
        holder: NodeName,
        /// Whether the job had begun here, under a claim that was lost.
        has_begun: bool,
    },
    /// A task was given to a side.
    Placed {
        /// The run.
        run: RunId,
        /// The caller's name for the request.
        request_id: Arc<str>,
        /// The side.
        side: NodeName,
        /// The free processor that the entry believed in, in thousandths of a core.
        free_cpu_millis: u32,
        /// The age of that belief, in milliseconds.
        view_age_ms: u64,
        /// What the job could still earn.
        completion_forecast: CompletionForecast,
        /// How long the job had been here, in milliseconds.
        waited_ms: u64,
    },
    /// Some sides were told at once of what waits for room.
    NeedReported {
        /// How urgent it is; 0 is the most urgent.
        rank: u8,
        /// What it takes together, in thousandths of a core.
        cpu_millis: u32,
        /// How many sides.
        sides: usize,
    },
    /// A run ended without having done its work.
    RunEnded {
        /// The run.
        run: RunId,
        /// The caller's name for the request.
        request_id: Arc<str>,
        /// The side.
        side: NodeName,
        /// How.
        end: EndOfRun,
        /// Failures of the task that count.
        failures: u32,
        /// How many targets have crashed under the task.
        crashes: u32,
    },
    /// A task is never started again: it crashes the targets on which it starts.
    TaskGivenUp {
        /// The task.
        task: TaskRef,
        /// The caller's name for the request.
        request_id: Arc<str>,
        /// How long it ran until each of its targets crashed, in milliseconds.
        ran_ms: Vec<u32>,
    },
    /// A kind of tasks is kept to a part of the targets: one of its tasks crashes them.
    KindContained {
        /// The kind.
        kind: TaskKind,
        /// How many targets it has.
        targets: usize,
    },
    /// A kind of tasks has shown to be sound and may run anywhere again.
    KindReleased {
        /// The kind.
        kind: TaskKind,
    },
    /// A kind of tasks is kept to a part of the targets, as it was by earlier processes.
    KindKnown {
        /// The kind.
        kind: TaskKind,
        /// How many targets it has.
        targets: usize,
    },
    /// What earlier processes or others have learned was read.
    ProfileRead {
        /// How long ago it was written, in milliseconds.
        age_ms: u64,
        /// Paces of queues on classes of targets.
        paces: usize,
        /// Queues with run times.
        run_times: usize,
        /// Kinds that crash targets.
        suspects: usize,
    },
    /// A job was answered.
    Answered {
        /// The job.
        job: JobId,
        /// The caller's name for the request.
        request_id: Arc<str>,
        /// The answer.
        answer: JobAnswer,
        /// Since it was taken, in milliseconds.
        after_ms: u64,
        /// Until its first start, in milliseconds.
        first_start_ms: Option<u64>,
        /// Starts ordered for it.
        starts: u64,
        /// Whether it was in time, by the work that its tasks really had.
        in_time: bool,
    },
    /// A job is refused, as the forecast denies that it can be in time.
    Denied {
        /// The job.
        job: JobId,
        /// The caller's name for the request.
        request_id: Arc<str>,
        /// Its queue.
        queue: Arc<str>,
        /// Whether it had just arrived.
        is_new: bool,
        /// The forecast of its wait, in milliseconds; none if room goes to more urgent work.
        wait_ms: Option<u64>,
        /// The room that comes free for it and what is ahead of it, in thousandths of a core.
        rate_cpu_millis: i64,
        /// Its longest chain of work, in milliseconds.
        chain_ms: u64,
        /// What is left of its objective, in milliseconds.
        left_ms: u64,
        /// By how much the forecast of its queue is off as a rule, in milliseconds.
        error_ms: u64,
        /// The room that is taken by what waits ahead of it, in thousandths of a core.
        ahead_cpu_millis: u64,
        /// The most free processor that is known of a target, in thousandths of a core.
        free_cpu_millis: u32,
        /// The age of the oldest report that was used, in milliseconds.
        view_age_ms: u64,
        /// When its caller is told to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// All tasks of a job are placed of which a wait was forecast.
    ForecastSeen {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: Arc<str>,
        /// The wait that was forecast, in milliseconds.
        forecast_ms: u64,
        /// The wait, in milliseconds.
        actual_ms: u64,
    },
    /// A caller left before its answer.
    Abandoned {
        /// The job.
        job: JobId,
        /// The caller.
        caller: CallerId,
        /// Runs that are stopped.
        runs: usize,
        /// Since the job came, in milliseconds.
        after_ms: u64,
        /// Whether a task of it may have begun.
        has_begun: bool,
    },
    /// Operators have drained halls, or returned them.
    HallsDrained {
        /// What is drained now.
        drained: Arc<DrainedHalls>,
        /// Runs of this entry that go on there.
        runs: usize,
    },
    /// Operators have changed the weights of halls.
    ShareWeights {
        /// The weights.
        weights: Arc<ShareWeights>,
    },
    /// A side's link stands and its runs are settled.
    SideJoined {
        /// The side.
        side: NodeName,
        /// Runs of this entry that go on there.
        kept: usize,
        /// Runs of this entry that are over.
        lost: usize,
    },
    /// A side greeted and did not answer the welcome: the greeting may be one of a life that is over.
    HandshakeUnanswered {
        /// The side.
        side: NodeName,
        /// The life that greeted.
        incarnation: Incarnation,
    },
    /// A side's link is gone.
    SideLeft {
        /// The side.
        side: NodeName,
        /// Whether it was silent, in place of a broken connection.
        was_silent: bool,
        /// Since it was last heard, in milliseconds.
        age_ms: u64,
        /// Runs of this entry there.
        runs: usize,
    },
}
