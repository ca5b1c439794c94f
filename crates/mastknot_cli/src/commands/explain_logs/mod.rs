//! `mastknot explain --logs`: prints the log lines of all processes about one request, or a summary
//! of the jobs that were not done in time.

mod job_record;
mod log_line;
mod loss_cause;
mod summary;
mod verdict;

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use snafu::ResultExt;

use crate::error::{CliError, OutputSnafu, ReadFileSnafu};
use crate::exit::Exit;
use crate::output::print_text;
use log_line::LogLine;
pub(crate) use summary::summarize_logs;
use verdict::verdict;

/// Prints all log lines about a request, a job or a run in order of time, then the reason for its
/// outcome.
pub(crate) fn explain_logs(files: &[PathBuf], id: &str) -> Result<Exit, CliError> {
    let mut jobs = BTreeSet::from([id.to_owned()]);
    for_each_line(files, |line| {
        if line.request_id() == Some(id)
            && let Some(job) = line.job()
        {
            jobs.insert(job.to_owned());
        }
    })?;
    let mut request_lines = Vec::new();
    for_each_line(files, |line| {
        let is_of_job = line.job().is_some_and(|job| jobs.contains(job));
        if is_of_job || line.request_id() == Some(id) {
            request_lines.push(line);
        }
    })?;
    if request_lines.is_empty() {
        eprintln!("mastknot: no line about {id}; give the logs of all entries and sides");
        return Ok(Exit::NotFound);
    }
    // The clocks of VMs differ slightly. The stable sort keeps lines of one process with equal
    // times in their order.
    request_lines.sort_by(|one, other| one.at().total_cmp(&other.at()));
    let start_s = request_lines[0].at();
    let mut lines: Vec<String> = request_lines
        .iter()
        .map(|line| line.sentence(start_s))
        .collect();
    lines.push(verdict(&request_lines) + "\n");
    print_text(&lines.join("\n")).context(OutputSnafu)?;
    Ok(Exit::Done)
}

fn for_each_line(files: &[PathBuf], mut handle_line: impl FnMut(LogLine)) -> Result<(), CliError> {
    for path in files {
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        let file = path.display().to_string();
        let opened = File::open(path).context(ReadFileSnafu { file: &file })?;
        for text in BufReader::new(opened).lines() {
            let text = text.context(ReadFileSnafu { file: &file })?;
            if let Some(line) = LogLine::parse(&name, &text) {
                handle_line(line);
            }
        }
    }
    Ok(())
}
