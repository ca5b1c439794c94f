//! `mastknot-standin`: runs one stand-in as a separate process.

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use mastknot_standin::{StandInError, StoreStandIn, VmListStandIn, WorkerStandIn};

#[derive(Clone, Debug)]
enum Command {
    Store { listen: String },
    Vms { listen: String },
    Worker { listen: String },
}

fn listen() -> impl Parser<String> {
    long("listen")
        .help("Address to listen on; port 0 selects a free port")
        .argument::<String>("ADDRESS")
}

fn options() -> OptionParser<Command> {
    let store = construct!(Command::Store { listen() })
        .to_options()
        .descr("Key-value service (etcd v3 JSON gateway); POST /control sets its faults")
        .command("store");
    let vms = construct!(Command::Vms { listen() })
        .to_options()
        .descr("VM list; POST /control replaces it")
        .command("vms");
    let worker = construct!(Command::Worker { listen() })
        .to_options()
        .descr("Worker; POST /control sets its faults, GET /starts returns the recorded starts")
        .command("worker");
    construct!([store, vms, worker])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Stand-ins for the platform, for tests and demos only")
}

async fn run(command: Command) -> Result<(), StandInError> {
    match command {
        Command::Store { listen } => {
            let store = StoreStandIn::start(&listen).await?;
            println!("{}", store.address());
            wait_for_interrupt().await;
        }
        Command::Vms { listen } => {
            let vms = VmListStandIn::start(&listen).await?;
            println!("{}", vms.address());
            wait_for_interrupt().await;
        }
        Command::Worker { listen } => {
            let worker = WorkerStandIn::start(&listen).await?;
            println!("{}", worker.address());
            wait_for_interrupt().await;
        }
    }
    Ok(())
}

async fn wait_for_interrupt() {
    // The process ends on the first interrupt: a stand-in has no state to save.
    let _ = tokio::signal::ctrl_c().await;
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(options().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mastknot-standin: {error}");
            ExitCode::FAILURE
        }
    }
}
