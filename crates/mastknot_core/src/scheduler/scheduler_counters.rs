use serde::Serialize;

/// Counters of a [`JobScheduler`](super::JobScheduler) since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SchedulerCounters {
    /// Jobs that were accepted from callers.
    pub jobs_taken: u64,
    /// Jobs that were answered as completed.
    pub jobs_completed: u64,
    /// Jobs that were answered as failed.
    pub jobs_failed: u64,
    /// Jobs that were refused after they were accepted, without any task run.
    pub jobs_refused: u64,
    /// Jobs that were refused because the forecast denied them on arrival; included in `jobs_refused`.
    pub jobs_refused_at_arrival: u64,
    /// Jobs that were refused because the forecast denied them while they waited; included in `jobs_refused`.
    pub jobs_refused_while_waiting: u64,
    /// Jobs that were submitted again after a refusal, at the retry time in that refusal.
    pub jobs_returned: u64,
    /// Jobs that were given up after a task may have run.
    pub jobs_timed_out: u64,
    /// Jobs whose callers left before an answer.
    pub jobs_abandoned: u64,
    /// Jobs that were submitted again while an earlier submission was held here.
    pub jobs_rejoined: u64,
    /// Requests to cancel a job.
    pub cancels: u64,
    /// Cancels of jobs that an entry had.
    pub cancels_done: u64,
    /// Cancels of jobs that no entry had.
    pub cancels_not_found: u64,
    /// Cancels that the sides did not confirm in time.
    pub cancels_unconfirmed: u64,
    /// Jobs that were ended or refused here because they were cancelled, at any entry.
    pub jobs_cancelled: u64,
    /// Jobs that had to wait because another entry had claimed them.
    pub claims_awaited: u64,
    /// Claims that got no answer before their links counted as silent.
    pub claims_unanswered: u64,
    /// Begun jobs that another entry was found to have claimed when their claims were renewed.
    pub claims_conflicting: u64,
    /// Starts that were sent to sides.
    pub starts: u64,
    /// Runs that finished their work.
    pub runs_done: u64,
    /// Runs that failed.
    pub runs_failed: u64,
    /// Runs that stalled and were stopped.
    pub runs_stalled: u64,
    /// Runs that were lost together with their side or their lease.
    pub runs_lost: u64,
    /// Runs whose targets crashed.
    pub runs_crashed: u64,
    /// Crashes of targets that sides reported.
    pub target_crashes: u64,
    /// Tasks that were given up because they crash the targets on which they start.
    pub tasks_given_up: u64,
    /// Kinds of tasks that were limited to a part of the targets because their tasks crash targets.
    pub kinds_contained: u64,
    /// Kinds of tasks that were released from containment.
    pub kinds_released: u64,
    /// Kinds of tasks that were limited to a part of the targets because earlier processes had done so.
    pub kinds_known: u64,
    /// Documents that were read with values that earlier or other processes have learned.
    pub profiles_read: u64,
    /// Jobs of contained kinds that were given up after a crash like those of other jobs of their kind.
    pub suspects_given_up: u64,
    /// Runs that were stopped.
    pub runs_stopped: u64,
    /// Starts that were rejected for lack of capacity.
    pub starts_without_room: u64,
    /// Starts that were rejected for any other reason.
    pub starts_turned_away: u64,
    /// Grants of capacity that were received.
    pub grants: u64,
    /// Grants of capacity of which a part was returned at once.
    pub grants_returned: u64,
    /// Needs that were reported to sides between heartbeats.
    pub needs_told: u64,
    /// Links to sides that were closed because of silence.
    pub links_silent: u64,
    /// Links whose sides sent a hello and never answered the welcome.
    pub greetings_unanswered: u64,
    /// Links to sides that were put on standby.
    pub links_stood_by: u64,
    /// Links to sides that were activated from standby.
    pub links_woken: u64,
}
