use super::job_record::is_broken;
use super::log_line::LogLine;

/// Part of the latency objective after which a first start means that the job waited for capacity.
const LONG_WAIT: f64 = 0.3;

/// Returns the reason for the outcome of a request, as one sentence.
pub(super) fn verdict(lines: &[LogLine]) -> String {
    let Some(answered) = last(lines, "job_answered") else {
        return match last(lines, "job_abandoned") {
            Some(_) => "Its caller disconnected before the answer.".to_owned(),
            None => no_answer(lines),
        };
    };
    let answer = answered.text("answer").unwrap_or_default();
    if answer.starts_with("Completed") && answered.is_true("in_time") {
        return "It was done in time.".to_owned();
    }
    let cause = cause(lines, answered);
    let after = answered.number("after_ms").unwrap_or_default();
    format!("It ended as {answer} after {after:.0} ms: {cause}.")
}

fn no_answer(lines: &[LogLine]) -> String {
    let is_taken = last(lines, "job_taken").is_some();
    match is_taken {
        true => "It was accepted and never answered: the entry stopped or hung; look for its \
                 `started` event and for `lease_ended` events of the sides."
            .to_owned(),
        false => "No entry has accepted it.".to_owned(),
    }
}

fn cause(lines: &[LogLine], answered: &LogLine) -> String {
    if let Some(given_up) = last(lines, "task_given_up") {
        let task = given_up.text("task").unwrap_or_default();
        let crashes = given_up.number("crashes").unwrap_or_default();
        let ran_ms = given_up.text("ran_ms").unwrap_or_default();
        return format!("{crashes:.0} targets crashed under task {task}, after {ran_ms} ms");
    }
    // Sides log the same ends of runs. Only the lines of entries have the field `side`, so each run
    // counts once.
    let of_entry = |line: &&LogLine| line.event() == "run_ended" && line.text("side").is_some();
    let broken = lines.iter().filter(of_entry);
    let broken = broken.filter(|line| is_broken(line.text("end").unwrap_or_default()));
    let broken: Vec<&LogLine> = broken.collect();
    if let Some(line) = broken.last() {
        let (run, end) = (line.text("run"), line.text("end"));
        let (run, end) = (run.unwrap_or_default(), end.unwrap_or_default());
        let side = line.text("side").unwrap_or("its side");
        let count = broken.len();
        return format!("{count} runs were broken, last {run} on {side} ({end})");
    }
    let first_start = answered.number("first_start_ms");
    let objective = last(lines, "job_taken").and_then(|line| line.number("objective_ms"));
    let turned_away = count(lines, "turned_away");
    match (first_start, objective) {
        (None, _) => format!("it found no capacity; {turned_away} starts were turned away"),
        (Some(first), Some(objective)) if first > objective * LONG_WAIT => format!(
            "it waited {first:.0} of {objective:.0} ms for its first capacity; {turned_away} starts \
             were turned away"
        ),
        _ => last_task(lines),
    }
}

fn last_task(lines: &[LogLine]) -> String {
    let placed = last(lines, "task_placed");
    let waited = placed.and_then(|line| line.number("waited_ms"));
    let run = placed.and_then(|line| line.text("run")).unwrap_or("none");
    let waited = waited.unwrap_or_default();
    format!("its last task to start, {run}, was placed after {waited:.0} ms; the rest was run time")
}

fn last<'s>(lines: &'s [LogLine], event: &str) -> Option<&'s LogLine> {
    lines.iter().rfind(|line| line.event() == event)
}

fn count(lines: &[LogLine], event: &str) -> usize {
    lines.iter().filter(|line| line.event() == event).count()
}
