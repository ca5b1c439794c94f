//! `mastknot-side`: one side process.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use log::{error, info};
use mastknot_runtime::NodeError;
use mastknot_runtime::{Signals, load_settings, start_logs};
use mastknot_side::{SideFile, SideNode, StopReport};

/// The exit code after a stop that cut tasks.
const EXIT_CUT: u8 = 3;
/// The exit code for bad settings.
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
        .help("Check the settings file and start nothing")
        .switch();
    construct!(Options {
        settings,
        check_settings
    })
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("Runs beside one target: grants its slots and starts tasks on it")
    .footer("Exit codes: 0 stopped by plan, 1 did not start, 2 bad settings, 3 tasks were cut")
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
    info!(side = name.as_str(); "stopping: what runs will end, nothing new is granted");
    let report = tokio::select! {
        report = side.stop() => Some(report),
        _ = signals.next() => None,
    };
    Ok(match report {
        Some(StopReport { tasks_cut: 0 }) => {
            info!(side = name.as_str(); "stopped; nothing was cut");
            ExitCode::SUCCESS
        }
        Some(StopReport { tasks_cut }) => {
            error!(side = name.as_str(), tasks_cut; "stopped at the deadline; tasks were cut");
            ExitCode::from(EXIT_CUT)
        }
        None => {
            error!(side = name.as_str(); "ended by a second signal; tasks may have been cut");
            ExitCode::from(EXIT_CUT)
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
