//! Command line of `mastknot-entry`, which runs one entry process.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use log::{error, info};
use mastknot_entry::{EntryFile, EntryNode, StopReport};
use mastknot_runtime::NodeError;
use mastknot_runtime::{Signals, load_settings, start_logs};

/// Exit code after a stop that aborted submissions.
const EXIT_ABORTED: u8 = 3;
/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

#[derive(Clone, Debug)]
struct Options {
    settings: PathBuf,
    check_settings: bool,
}

fn options() -> OptionParser<Options> {
    let settings = long("settings")
        .short('s')
        .help("Settings file (TOML); see examples/settings/entry.toml")
        .argument::<PathBuf>("FILE");
    let check_settings = long("check-settings")
        .help("Check the settings file and exit")
        .switch();
    construct!(Options {
        settings,
        check_settings
    })
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("Accepts jobs and requests from callers, queues them and places their tasks on targets")
    .footer(
        "Exit codes: 0 stopped as planned, 1 did not start, 2 invalid settings, 3 submissions were aborted",
    )
}

async fn run(file: EntryFile) -> Result<ExitCode, NodeError> {
    let mut signals = Signals::catch().map_err(|source| NodeError::Start {
        part: "signals".to_owned(),
        source,
    })?;
    let name = file.name.clone();
    let entry = EntryNode::start(file).await?;
    info!(entry = name.as_str(), callers:% = entry.callers_address(), operators:% = entry.operators_address(); "started");
    signals.next().await;
    info!(entry = name.as_str(); "stopping: leaving the roster, finishing submissions in flight");
    let report = tokio::select! {
        report = entry.stop() => Some(report),
        _ = signals.next() => None,
    };
    Ok(match report {
        Some(StopReport {
            aborted_submissions: 0,
        }) => {
            info!(entry = name.as_str(); "stopped; no submission was aborted");
            ExitCode::SUCCESS
        }
        Some(StopReport {
            aborted_submissions,
        }) => {
            error!(entry = name.as_str(), submissions_cut = aborted_submissions; "stopped at the deadline; submissions were aborted");
            ExitCode::from(EXIT_ABORTED)
        }
        None => {
            error!(entry = name.as_str(); "ended by a second signal; submissions may have been aborted");
            ExitCode::from(EXIT_ABORTED)
        }
    })
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = options().run();
    let file: EntryFile = match load_settings(&options.settings) {
        Ok(file) => file,
        Err(error) => {
            eprintln!("mastknot-entry: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if options.check_settings {
        println!("{}: settings are good", options.settings.display());
        return ExitCode::SUCCESS;
    }
    start_logs(&file.log);
    match run(file).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("mastknot-entry: {error}");
            ExitCode::FAILURE
        }
    }
}
