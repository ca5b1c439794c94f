use super::job_record::is_broken;
use super::log_line::LogLine;

/// A first start later than this part of the objective means that the job waited for room.
const LONG_WAIT: f64 = 0.3;

/// What decided the end of a request, in one sentence.
pub(super) fn verdict(story: &[LogLine]) -> String {
    let Some(answered) = last(story, "job_answered") else {
        return match last(story, "job_abandoned") {
            Some(_) => "Its caller left before the answer.".to_owned(),
            None => no_answer(story),
        };
    };
    let answer = answered.text("answer").unwrap_or_default();
    if answer.starts_with("Completed") && answered.is_true("in_time") {
        return "It was done in time.".to_owned();
    }
    let cause = cause(story, answered);
    let after = answered.number("after_ms").unwrap_or_default();
    format!("It ended as {answer} after {after:.0} ms: {cause}.")
}

fn no_answer(story: &[LogLine]) -> String {
    let is_taken = last(story, "job_taken").is_some();
    match is_taken {
        true => "It was taken and never answered: the entry ended or stood still; look for its \
                 `started` and for `lease_ended` at the sides."
            .to_owned(),
        false => "No entry has taken it.".to_owned(),
    }
}

fn cause(story: &[LogLine], answered: &LogLine) -> String {
    if let Some(given_up) = last(story, "task_given_up") {
        let task = given_up.text("task").unwrap_or_default();
        let crashes = given_up.number("crashes").unwrap_or_default();
        let ran_ms = given_up.text("ran_ms").unwrap_or_default();
        return format!("{crashes:.0} targets crashed under task {task}, after {ran_ms} ms");
    }
    // Sides name the same ends; an entry's lines name the side too.
    let of_entry = |line: &&LogLine| line.event() == "run_ended" && line.text("side").is_some();
    let broken = story.iter().filter(of_entry);
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
    let objective = last(story, "job_taken").and_then(|line| line.number("objective_ms"));
    let turned_away = count(story, "turned_away");
    match (first_start, objective) {
        (None, _) => format!("it found no room; {turned_away} starts were turned away"),
        (Some(first), Some(objective)) if first > objective * LONG_WAIT => format!(
            "it waited {first:.0} of {objective:.0} ms for its first room; {turned_away} starts \
             were turned away"
        ),
        _ => last_task(story),
    }
}

fn last_task(story: &[LogLine]) -> String {
    let placed = last(story, "task_placed");
    let waited = placed.and_then(|line| line.number("waited_ms"));
    let run = placed.and_then(|line| line.text("run")).unwrap_or("none");
    let waited = waited.unwrap_or_default();
    format!("its last task to start, {run}, was placed after {waited:.0} ms; the rest is its work")
}

fn last<'s>(story: &'s [LogLine], event: &str) -> Option<&'s LogLine> {
    story.iter().rfind(|line| line.event() == event)
}

fn count(story: &[LogLine], event: &str) -> usize {
    story.iter().filter(|line| line.event() == event).count()
}
