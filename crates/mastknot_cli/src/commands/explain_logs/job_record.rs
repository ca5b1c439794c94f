use super::log_line::LogLine;

/// How a job ended, as its entry logged it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum JobEnd {
    /// No answer is logged.
    #[default]
    None,
    /// Completed within its objective.
    InTime,
    /// Completed after its objective.
    Late,
    /// Refused; nothing of it has run.
    Refused,
    /// Given up after something may have run.
    GivenUp,
    /// A task failed as often as its queue allows.
    Failed,
    /// A task crashes the targets on which it starts.
    CrashesTargets,
    /// Its caller left.
    CallerLeft,
}

/// What the lines of all processes say of one job.
#[derive(Clone, Debug, Default)]
pub(super) struct JobRecord {
    pub(super) entry: String,
    pub(super) queue: String,
    pub(super) request_id: String,
    /// When it was taken, in seconds since 1970.
    pub(super) taken_s: f64,
    pub(super) objective_ms: f64,
    /// When the last task was placed, in milliseconds since it was taken.
    pub(super) last_start_ms: f64,
    pub(super) has_broken_run: bool,
    pub(super) has_unanswered_order: bool,
    pub(super) end: JobEnd,
}

impl JobRecord {
    /// Takes what a line says of the job. A job that has come again at another entry counts by its
    /// last arrival, whatever the order of the files.
    pub(super) fn take(&mut self, line: &LogLine) {
        let is_of_entry = line.process() == self.entry;
        match line.event() {
            "job_taken" if line.at() >= self.taken_s => self.take_arrival(line),
            "run_ended" => self.has_broken_run |= is_broken(line.text("end").unwrap_or_default()),
            "order_unanswered" => self.has_unanswered_order = true,
            "task_placed" if is_of_entry => {
                self.last_start_ms = line.number("waited_ms").unwrap_or_default();
            }
            "job_abandoned" if is_of_entry => self.end = JobEnd::CallerLeft,
            "job_answered" if is_of_entry => self.end = end(line),
            _ => {}
        }
    }

    fn take_arrival(&mut self, line: &LogLine) {
        self.entry = line.process().to_owned();
        self.queue = line.text("queue").unwrap_or_default().to_owned();
        self.request_id = line.request_id().unwrap_or_default().to_owned();
        self.taken_s = line.at();
        self.objective_ms = line.number("objective_ms").unwrap_or_default();
        self.end = JobEnd::None;
    }
}

fn end(line: &LogLine) -> JobEnd {
    let answer = line.text("answer").unwrap_or_default();
    match answer.split(' ').next().unwrap_or_default() {
        "Completed" if line.is_true("in_time") => JobEnd::InTime,
        "Completed" => JobEnd::Late,
        "Refused" => JobEnd::Refused,
        "TimedOut" => JobEnd::GivenUp,
        "Failed" if answer.contains("CrashesTargets") => JobEnd::CrashesTargets,
        _ => JobEnd::Failed,
    }
}

/// An end that cost the job time, other than a start that found no room.
pub(super) fn is_broken(end: &str) -> bool {
    !end.starts_with("NotRun(NoRoom") && !end.starts_with("Stopped") && end != "Done"
}
