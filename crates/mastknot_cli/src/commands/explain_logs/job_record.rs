use super::log_line::LogLine;

/// Outcome of a job, as its entry logged it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum JobEnd {
    /// No answer has been logged.
    #[default]
    None,
    /// The job completed within its latency objective.
    InTime,
    /// The job completed after its latency objective.
    Late,
    /// The job was refused and none of its tasks ran.
    Refused,
    /// The job timed out; some of its tasks may have run.
    TimedOut,
    /// A task failed as often as the queue of the job allows.
    Failed,
    /// A task of the job crashes the targets on which it starts.
    CrashesTargets,
    /// The caller disconnected before the answer.
    CallerDisconnected,
}

/// State of one job, collected from the log lines of all processes.
#[derive(Clone, Debug, Default)]
pub(super) struct JobRecord {
    pub(super) entry: String,
    pub(super) queue: String,
    pub(super) request_id: String,
    /// Time at which the entry accepted the job, in seconds since 1970.
    pub(super) taken_s: f64,
    pub(super) objective_ms: f64,
    /// Time from the acceptance of the job to the placement of its last task, in milliseconds.
    pub(super) last_start_ms: f64,
    pub(super) has_broken_run: bool,
    pub(super) has_unanswered_order: bool,
    pub(super) end: JobEnd,
}

impl JobRecord {
    /// Updates the record from a log line about the job. A job that was submitted again through
    /// another entry is judged by its last arrival, independent of the order of the files.
    pub(super) fn record_line(&mut self, line: &LogLine) {
        let is_of_entry = line.process() == self.entry;
        match line.event() {
            "job_taken" if line.at() >= self.taken_s => self.record_arrival(line),
            "run_ended" => self.has_broken_run |= is_broken(line.text("end").unwrap_or_default()),
            "order_unanswered" => self.has_unanswered_order = true,
            "task_placed" if is_of_entry => {
                self.last_start_ms = line.number("waited_ms").unwrap_or_default();
            }
            "job_abandoned" if is_of_entry => self.end = JobEnd::CallerDisconnected,
            "job_answered" if is_of_entry => self.end = job_end(line),
            _ => {}
        }
    }

    fn record_arrival(&mut self, line: &LogLine) {
        self.entry = line.process().to_owned();
        self.queue = line.text("queue").unwrap_or_default().to_owned();
        self.request_id = line.request_id().unwrap_or_default().to_owned();
        self.taken_s = line.at();
        self.objective_ms = line.number("objective_ms").unwrap_or_default();
        self.end = JobEnd::None;
    }
}

fn job_end(line: &LogLine) -> JobEnd {
    let answer = line.text("answer").unwrap_or_default();
    match answer.split(' ').next().unwrap_or_default() {
        "Completed" if line.is_true("in_time") => JobEnd::InTime,
        "Completed" => JobEnd::Late,
        "Refused" => JobEnd::Refused,
        "TimedOut" => JobEnd::TimedOut,
        "Failed" if answer.contains("CrashesTargets") => JobEnd::CrashesTargets,
        _ => JobEnd::Failed,
    }
}

/// Returns whether a run ended in a way that cost its job time. Starts that found no capacity and
/// runs that were stopped on request do not count.
pub(super) fn is_broken(end: &str) -> bool {
    !end.starts_with("NotRun(NoRoom") && !end.starts_with("Stopped") && end != "Done"
}
