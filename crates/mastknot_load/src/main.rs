//! `mastknot-load`: measurements, each bounded in time and count.

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use mastknot_load::{
    LoadError, OverheadPlan, ThroughputPlan, measure_overhead, measure_throughput,
};
use serde::Serialize;

#[derive(Clone, Debug)]
enum Command {
    Overhead(OverheadPlan),
    Throughput(ThroughputPlan),
}

fn number<T>(name: &'static str, help: &'static str, fallback: T) -> impl Parser<T>
where
    T: std::str::FromStr + Clone + 'static,
    T::Err: std::fmt::Display,
{
    long(name).help(help).argument::<T>("N").fallback(fallback)
}

fn overhead() -> impl Parser<Command> {
    let rate = number("rate", "Starts in a second, both arms together [1000]", 1_000);
    let seconds = number("seconds", "How long [20]", 20);
    construct!(OverheadPlan { rate, seconds })
        .map(Command::Overhead)
        .to_options()
        .descr("Entry and side over calling the target directly, interleaved")
        .command("overhead")
}

fn throughput() -> impl Parser<Command> {
    let entries = number("entries", "Entries [2]", 2);
    let sides = number("sides", "Sides, each with a worker [8]", 8);
    let slots = number("slots", "Slots of each side [64]", 64);
    let jobs = number("jobs", "Jobs in flight [32]", 32);
    let tasks = number("tasks", "Tasks in each job [1000]", 1_000);
    let task_ms = number("task-ms", "How long a task runs, in milliseconds [0]", 0);
    let seconds = number("seconds", "How long [10]", 10);
    construct!(ThroughputPlan {
        entries,
        sides,
        slots,
        jobs,
        tasks,
        task_ms,
        seconds
    })
    .map(Command::Throughput)
    .to_options()
    .descr("Tasks a second through one machine, over real sockets")
    .command("throughput")
}

fn options() -> OptionParser<Command> {
    let (overhead, throughput) = (overhead(), throughput());
    construct!([overhead, throughput])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Measure mastknot; every run is bounded in time and count and stays on loopback")
}

fn print<T: Serialize>(report: &T) {
    let text = serde_json::to_string_pretty(report).unwrap_or_default();
    println!("{text}");
}

async fn run(command: Command) -> Result<(), LoadError> {
    match command {
        Command::Overhead(plan) => print(&measure_overhead(plan).await?),
        Command::Throughput(plan) => print(&measure_throughput(plan).await?),
    }
    Ok(())
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(options().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mastknot-load: {error}");
            ExitCode::FAILURE
        }
    }
}
