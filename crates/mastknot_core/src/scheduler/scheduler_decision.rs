use std::sync::Arc;

use super::{CallerId, CompletionForecast};
use crate::job::{
    CancelOutcome, DrainedHalls, EndOfRun, JobAnswer, JobId, RunId, ShareWeights, TaskKind, TaskRef,
};
use crate::types::{Incarnation, NodeName};

/// A decision of an entry, for the logs.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerDecision {
    /// A job was accepted.
    Taken {
        /// Identifier of the job.
        job: JobId,
        /// Caller's identifier of the request.
        request_id: Arc<str>,
        /// Queue of the job.
        queue: Arc<str>,
        /// Kind of the tasks of the job's first step.
        kind: TaskKind,
        /// Version of the configuration under which the job was accepted.
        config_version: u64,
        /// Number of the job's tasks.
        tasks: usize,
        /// Time until the job's latency objective, in milliseconds.
        objective_ms: u64,
        /// Number of jobs that were waiting.
        waiting_jobs: usize,
    },
    /// A job was submitted again while an earlier submission was held here.
    Rejoined {
        /// Identifier of the job.
        job: JobId,
        /// Caller's identifier of the new request.
        request_id: Arc<str>,
    },
    /// Another entry has claimed a job that was submitted here.
    ClaimHeld {
        /// Identifier of the job.
        job: JobId,
        /// Caller's identifier of the request.
        request_id: Arc<str>,
        /// Side that was asked.
        side: NodeName,
        /// Entry that holds the claim.
        holder: NodeName,
        /// Whether the job had begun here, under a claim that was lost.
        has_begun: bool,
    },
    /// A task was sent to a side.
    Placed {
        /// Identifier of the run.
        run: RunId,
        /// Caller's identifier of the request.
        request_id: Arc<str>,
        /// Side that the task was sent to.
        side: NodeName,
        /// Processor capacity that the entry assumed to be free there, in thousandths of a core.
        free_cpu_millis: u32,
        /// Age of the report behind this assumption, in milliseconds.
        view_age_ms: u64,
        /// Completion forecast of the job.
        completion_forecast: CompletionForecast,
        /// Time since the job arrived, in milliseconds.
        waited_ms: u64,
    },
    /// Some sides were notified at once of the tasks that wait for capacity.
    NeedReported {
        /// Urgency of the tasks; 0 is the most urgent.
        rank: u8,
        /// Processor capacity that the tasks take together, in thousandths of a core.
        cpu_millis: u32,
        /// Number of sides that were notified.
        sides: usize,
    },
    /// A run ended without having finished its work.
    RunEnded {
        /// Identifier of the run.
        run: RunId,
        /// Caller's identifier of the request.
        request_id: Arc<str>,
        /// Side on which the run ended.
        side: NodeName,
        /// Outcome of the run.
        end: EndOfRun,
        /// Number of failures that count against the task.
        failures: u32,
        /// Number of targets that crashed while they ran the task.
        crashes: u32,
    },
    /// A task is not started again, because it crashes the targets on which it starts.
    TaskGivenUp {
        /// The task that was given up.
        task: TaskRef,
        /// Caller's identifier of the request.
        request_id: Arc<str>,
        /// Times for which the task ran until its targets crashed, in milliseconds.
        ran_ms: Vec<u32>,
    },
    /// A kind of tasks is limited to a part of the targets, because one of its tasks crashes them.
    KindContained {
        /// The kind that is contained.
        kind: TaskKind,
        /// Number of targets that the kind may use.
        targets: usize,
    },
    /// A kind of tasks has proved to be healthy and may run on all targets again.
    KindReleased {
        /// The kind that is released.
        kind: TaskKind,
    },
    /// A kind of tasks is limited to a part of the targets, as it was by earlier processes.
    KindKnown {
        /// The kind that is contained.
        kind: TaskKind,
        /// Number of targets that the kind may use.
        targets: usize,
    },
    /// Values that earlier or other processes have learned were read.
    ProfileRead {
        /// Time since the values were written, in milliseconds.
        age_ms: u64,
        /// Number of slowdowns of queues on classes of targets.
        paces: usize,
        /// Number of queues with run times.
        run_times: usize,
        /// Number of kinds that crash targets.
        suspects: usize,
    },
    /// A job was answered.
    Answered {
        /// Identifier of the job.
        job: JobId,
        /// Caller's identifier of the request.
        request_id: Arc<str>,
        /// Answer to the callers.
        answer: JobAnswer,
        /// Time since the job was accepted, in milliseconds.
        after_ms: u64,
        /// Time until the job's first start, in milliseconds; `None` if no task was started.
        first_start_ms: Option<u64>,
        /// Number of starts that were sent for the job.
        starts: u64,
        /// Whether the job was in time, judged by the actual work of its tasks.
        in_time: bool,
    },
    /// A job is refused, because it can't be in time according to the forecast.
    Denied {
        /// Identifier of the job.
        job: JobId,
        /// Caller's identifier of the request.
        request_id: Arc<str>,
        /// Queue of the job.
        queue: Arc<str>,
        /// Whether the job had just arrived.
        is_new: bool,
        /// Forecast of the job's wait, in milliseconds; `None` if capacity goes to more urgent work.
        wait_ms: Option<u64>,
        /// Rate at which capacity becomes free for the job and for the work ahead of it, in thousandths of a core.
        rate_cpu_millis: i64,
        /// Length of the job's longest chain of dependent work, in milliseconds.
        chain_ms: u64,
        /// Time left until the job's latency objective, in milliseconds.
        left_ms: u64,
        /// Usual error of the forecasts for the queue, in milliseconds.
        error_ms: u64,
        /// Processor capacity that the waiting work ahead of the job takes, in thousandths of a core.
        ahead_cpu_millis: u64,
        /// Largest free processor capacity that is known of any target, in thousandths of a core.
        free_cpu_millis: u32,
        /// Age of the oldest report that was used, in milliseconds.
        view_age_ms: u64,
        /// Time after which the caller is asked to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// All waiting tasks of a job with a forecast wait are placed.
    ForecastSeen {
        /// Identifier of the job.
        job: JobId,
        /// Queue of the job.
        queue: Arc<str>,
        /// Forecast wait, in milliseconds.
        forecast_ms: u64,
        /// Actual wait, in milliseconds.
        actual_ms: u64,
    },
    /// A caller left before its answer.
    Abandoned {
        /// Identifier of the job.
        job: JobId,
        /// The caller that left.
        caller: CallerId,
        /// Number of runs that are stopped.
        runs: usize,
        /// Time since the job arrived, in milliseconds.
        after_ms: u64,
        /// Whether a task of the job may have started.
        has_begun: bool,
    },
    /// A caller has asked to cancel a job.
    CancelReceived {
        /// Identifier of the job.
        job: JobId,
        /// Caller's identifier of the request to cancel.
        request_id: Arc<str>,
        /// Whether the job is held here.
        is_held: bool,
        /// Time since the job arrived here, in milliseconds; `None` if it is not held here.
        age_ms: Option<u64>,
    },
    /// A caller's request to cancel a job was answered.
    CancelAnswered {
        /// Identifier of the job.
        job: JobId,
        /// Caller's identifier of the request to cancel.
        request_id: Arc<str>,
        /// Outcome for the caller.
        outcome: CancelOutcome,
        /// Entry that had the job.
        holder: Option<NodeName>,
        /// Time for which that entry had the job, in milliseconds.
        held_ms: Option<u64>,
        /// Number of sides that know of the cancel.
        sides: usize,
        /// Time since the request, in milliseconds.
        after_ms: u64,
    },
    /// A job is ended here because it was cancelled, or is refused because it had been cancelled before.
    JobCancelled {
        /// Identifier of the job.
        job: JobId,
        /// Caller's identifier of the request that submitted the job.
        request_id: Arc<str>,
        /// Entry at which the cancel was requested.
        by: NodeName,
        /// Side that reported the cancel; `None` if this entry knew of it.
        side: Option<NodeName>,
        /// Number of runs that are stopped.
        runs: usize,
        /// Time since the job arrived here, in milliseconds.
        age_ms: u64,
    },
    /// Operators have drained halls, or returned them to service.
    HallsDrained {
        /// Halls that are drained now.
        drained: Arc<DrainedHalls>,
        /// Number of this entry's runs that go on in these halls.
        runs: usize,
    },
    /// Operators have changed the weights of halls.
    ShareWeights {
        /// The new weights.
        weights: Arc<ShareWeights>,
    },
    /// The link to a side is established, and the state of its runs is settled.
    SideJoined {
        /// Name of the side.
        side: NodeName,
        /// Number of this entry's runs that go on at the side.
        kept: usize,
        /// Number of this entry's runs that are lost.
        lost: usize,
    },
    /// A side sent a hello and did not answer the welcome. The hello may be from an incarnation that no longer runs.
    HandshakeUnanswered {
        /// Name of the side.
        side: NodeName,
        /// Incarnation that sent the hello.
        incarnation: Incarnation,
    },
    /// The link to a side is lost.
    SideLeft {
        /// Name of the side.
        side: NodeName,
        /// Whether the link was closed because of silence, and not because of a broken connection.
        was_silent: bool,
        /// Time since the last message of the side, in milliseconds.
        age_ms: u64,
        /// Number of this entry's runs at the side.
        runs: usize,
    },
}
