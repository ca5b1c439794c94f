use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;

use snafu::ResultExt;

use super::for_each_line;
use super::job_record::JobRecord;
use super::loss_cause::LossCause;
use crate::error::{CliError, OutputSnafu};
use crate::exit::Exit;
use crate::output::print_text;

/// A job that was not done in time, with the cause.
type LostJob<'j> = (LossCause, &'j JobRecord);

/// Prints why jobs were not done in time, in total and by queue, entry and second.
pub(crate) fn summarize_logs(files: &[PathBuf]) -> Result<Exit, CliError> {
    let mut jobs: HashMap<String, JobRecord> = HashMap::new();
    for_each_line(files, |line| {
        if let Some(job) = line.job() {
            jobs.entry(job.to_owned()).or_default().record_line(&line);
        }
    })?;
    // Jobs that appear only in logs of sides have no known arrival: the log of their entry was not
    // given.
    jobs.retain(|_, job| !job.entry.is_empty());
    if jobs.is_empty() {
        eprintln!("mastknot: no job in these logs; give the logs of all entries and sides");
        return Ok(Exit::NotFound);
    }
    print_text(&summary(&jobs)).context(OutputSnafu)?;
    Ok(Exit::Done)
}

fn summary(jobs: &HashMap<String, JobRecord>) -> String {
    let lost = jobs
        .values()
        .filter_map(|job| Some((LossCause::of(job)?, job)));
    let lost: Vec<LostJob> = lost.collect();
    let taken = jobs.values().map(|job| job.taken_s);
    let first = taken.fold(f64::MAX, f64::min);
    let mut lines = vec![format!(
        "{} jobs, {} of them not in time",
        jobs.len(),
        lost.len()
    )];
    lines.extend(examples(&lost));
    lines.push("by queue".to_owned());
    lines.extend(groups(&lost, |job| job.queue.clone()));
    lines.push("by entry".to_owned());
    lines.extend(groups(&lost, |job| job.entry.clone()));
    lines.push("by second".to_owned());
    lines.extend(groups(&lost, |job| {
        format!("{:>5}", (job.taken_s - first) as u64)
    }));
    lines.join("\n") + "\n"
}

/// Returns one line for each cause, with its count and the first request affected.
fn examples(lost: &[LostJob]) -> Vec<String> {
    let mut by_cause: BTreeMap<LossCause, Vec<&JobRecord>> = BTreeMap::new();
    for (cause, job) in lost {
        by_cause.entry(*cause).or_default().push(job);
    }
    let lines = by_cause.into_iter().map(|(cause, mut jobs)| {
        jobs.sort_by(|one, other| one.taken_s.total_cmp(&other.taken_s));
        let first = &jobs[0].request_id;
        format!("{:>7}  {cause:<20}  first request {first}", jobs.len())
    });
    lines.collect()
}

/// Returns one line for each group, with its late or lost jobs counted by cause.
fn groups(lost: &[LostJob], name: impl Fn(&JobRecord) -> String) -> Vec<String> {
    let mut groups: BTreeMap<String, BTreeMap<LossCause, usize>> = BTreeMap::new();
    for (cause, job) in lost {
        let causes = groups.entry(name(job)).or_default();
        *causes.entry(*cause).or_default() += 1;
    }
    let lines = groups.into_iter().map(|(name, causes)| {
        let texts = causes
            .iter()
            .map(|(cause, count)| format!("{cause} {count}"));
        let texts: Vec<String> = texts.collect();
        format!("  {name}  {}", texts.join(", "))
    });
    lines.collect()
}
