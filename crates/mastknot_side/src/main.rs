//! Command line of `mastknot-side`, which runs one side process.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use log::{error, info};
use mastknot_runtime::NodeError;
use mastknot_runtime::{Signals, load_settings, start_logs};
use mastknot_side::{SideFile, SideNode, StopReport};

/// Exit code after a stop that aborted tasks.
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
        .help("Settings file (TOML); see examples/settings/side.toml")
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
    .descr("Runs beside one target: grants the target's slots to entries and starts tasks on the target")
    .footer("Exit codes: 0 stopped as planned, 1 did not start, 2 invalid settings, 3 tasks were aborted")
}

async fn run(file: SideFile) -> Result<ExitCode, NodeError> {
    let mut signals = Signals::catch().map_err(|source| NodeError::Start {
        part: "signals".to_owned(),
        source,
    })?;
    let name = file.name.clone();
    let side = SideNode::start(file).await?;
    info!(side = name.as_str(), metrics:% = side.metrics_address(); "started");
    signals.next().await;
    info!(side = name.as_str(); "stopping: running tasks finish, no further credits are granted");
    let report = tokio::select! {
        report = side.stop() => Some(report),
        _ = signals.next() => None,
    };
    Ok(match report {
        Some(StopReport { aborted_tasks: 0 }) => {
            info!(side = name.as_str(); "stopped; no task was aborted");
            ExitCode::SUCCESS
        }
        Some(StopReport { aborted_tasks }) => {
            error!(side = name.as_str(), tasks_cut = aborted_tasks; "stopped at the deadline; tasks were aborted");
            ExitCode::from(EXIT_ABORTED)
        }
        None => {
            error!(side = name.as_str(); "ended by a second signal; tasks may have been aborted");
            ExitCode::from(EXIT_ABORTED)
        }
    })
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = options().run();
    let file: SideFile = match load_settings(&options.settings) {
        Ok(file) => file,
        Err(error) => {
            eprintln!("mastknot-side: {error}");
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
            eprintln!("mastknot-side: {error}");
            ExitCode::FAILURE
        }
    }
}
