//! `mastknot-load`: runs measurements, each bounded in time and number of submissions.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use mastknot_core::config::Profile;
use mastknot_load::{
    Arm, Baseline, BenchProfile, ComparePlan, FaultsPlan, LoadError, OverheadPlan, ThroughputPlan,
    compare, draw_trade, format_table, measure_overhead, measure_throughput, measure_trade,
    run_faults,
};
use serde::Serialize;

#[derive(Clone, Debug)]
enum Command {
    Overhead(OverheadPlan),
    Throughput(ThroughputPlan),
    Compare {
        plan: ComparePlan,
        json: bool,
    },
    Curve {
        profile: BenchProfile,
        seeds: Vec<u64>,
        out: PathBuf,
    },
    Faults(FaultsPlan),
}

fn number<T>(name: &'static str, help: &'static str, fallback: T) -> impl Parser<T>
where
    T: std::str::FromStr + Clone + 'static,
    T::Err: std::fmt::Display,
{
    long(name).help(help).argument::<T>("N").fallback(fallback)
}

fn overhead() -> impl Parser<Command> {
    let rate = number("rate", "Calls per second, both arms together [1000]", 1_000);
    let seconds = number("seconds", "Duration, in seconds [20]", 20);
    construct!(OverheadPlan { rate, seconds })
        .map(Command::Overhead)
        .to_options()
        .descr("Cost of dispatching through entry and side, against direct calls to the target")
        .command("overhead")
}

fn throughput() -> impl Parser<Command> {
    let entries = number("entries", "Entries [2]", 2);
    let sides = number("sides", "Sides, each with a worker [8]", 8);
    let slots = number("slots", "Slots of each side [64]", 64);
    let jobs = number("jobs", "Jobs in flight at once [32]", 32);
    let tasks = number("tasks", "Tasks in each job [1000]", 1_000);
    let task_ms = number("task-ms", "Run time of a task, in milliseconds [0]", 0);
    let seconds = number("seconds", "Duration, in seconds [10]", 10);
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
    .descr("Tasks per second through one machine, over real sockets")
    .command("throughput")
}

/// Arms of a comparison whose command line names none.
const ALL_ARMS: [Arm; 5] = [
    Arm::Credits,
    Arm::Pushed(Baseline::Random),
    Arm::Pushed(Baseline::LeastReported),
    Arm::Pushed(Baseline::TwoProbes),
    Arm::Pushed(Baseline::Omniscient),
];

fn list<T>(text: &str) -> Result<Vec<T>, String>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let parts = text.split(',').map(|part| part.trim().parse::<T>());
    parts
        .collect::<Result<Vec<T>, _>>()
        .map_err(|e| e.to_string())
}

fn profile_option() -> impl Parser<BenchProfile> {
    long("profile")
        .help("kalahari or co-op [kalahari]")
        .argument::<BenchProfile>("NAME")
        .fallback(BenchProfile::Kalahari)
}

fn seeds_option() -> impl Parser<Vec<u64>> {
    long("seeds")
        .help("Seeds of the arrivals [1,2,3,4,5]")
        .argument::<String>("LIST")
        .parse(|text| list::<u64>(&text))
        .fallback(vec![1, 2, 3, 4, 5])
}

fn compare_options() -> impl Parser<Command> {
    let profile = profile_option();
    let arms = long("policies")
        .help("credits, random, least-reported, two-probes, omniscient [all]")
        .argument::<String>("LIST")
        .parse(|text| list::<Arm>(&text))
        .fallback(ALL_ARMS.to_vec());
    let seeds = seeds_option();
    let load = number(
        "load",
        "Load as a share of the capacity of all slots [0.75]",
        0.75,
    );
    let seconds = number(
        "seconds",
        "Seconds during which submissions arrive [120]",
        120,
    );
    let entries = number("entries", "Entries [2]", 2);
    let sides = number("sides", "Sides [12]", 12);
    let slots = number("slots", "Slots of each side [8]", 8);
    let share = number(
        "first-entry-share",
        "Share of arrivals at the first entry [0.5]",
        0.5,
    );
    let max_job = number("max-job", "Tasks of the largest job [1000]", 1_000);
    let deadline = number("deadline-ms", "Deadline of submissions [30000]", 0);
    let weights = long("weights")
        .help("Weights of the policy as JSON, instead of those of the profile")
        .argument::<String>("JSON")
        .parse(|text| serde_json::from_str::<Profile>(&text))
        .optional();
    let issued = long("issued-keys")
        .help("Callers use keys issued by the entry that they call")
        .switch();
    let json = long("json")
        .help("Print one JSON object for each run")
        .switch();
    construct!(
        profile, weights, arms, seeds, load, seconds, entries, sides, slots, share, max_job,
        deadline, issued, json
    )
    .map(
        |(
            profile,
            policy,
            arms,
            seeds,
            load,
            seconds,
            entries,
            sides,
            slots,
            share,
            max_job,
            deadline,
            issued,
            json,
        )| {
            let plan = ComparePlan {
                policy,
                arms,
                seeds,
                load,
                seconds,
                entries,
                sides,
                slots,
                first_entry_share: share,
                max_job,
                deadline_ms: deadline,
                issued_keys: issued,
                ..ComparePlan::new(profile)
            };
            Command::Compare { plan, json }
        },
    )
    .to_options()
    .descr("Compare policies on the same arrivals in virtual time")
    .command("compare")
}

fn curve() -> impl Parser<Command> {
    let profile = profile_option();
    let seeds = seeds_option();
    let out = long("out")
        .help("SVG file to write")
        .argument::<PathBuf>("FILE");
    construct!(Command::Curve {
        profile,
        seeds,
        out
    })
    .to_options()
    .descr("Response time against messages over the weights of the policy, as a plot and as JSON")
    .command("curve")
}

fn faults() -> impl Parser<Command> {
    let rate = number("rate", "Submissions per second [60]", 60);
    let pause_seconds = number(
        "pause-seconds",
        "Seconds for which processes are paused [30]",
        30,
    );
    construct!(FaultsPlan {
        rate,
        pause_seconds
    })
    .map(Command::Faults)
    .to_options()
    .descr("Kill, pause and stop entries and sides under load, and audit the answers")
    .command("faults")
}

fn options() -> OptionParser<Command> {
    let (overhead, throughput, compare) = (overhead(), throughput(), compare_options());
    let (faults, curve) = (faults(), curve());
    construct!([overhead, throughput, compare, faults, curve])
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
        Command::Compare { plan, json } => {
            let reports = compare(&plan);
            if json {
                reports.iter().for_each(print);
            } else {
                println!("{}", format_table(&reports));
            }
        }
        Command::Faults(plan) => print(&run_faults(plan).await?),
        Command::Curve {
            profile,
            seeds,
            out,
        } => {
            let points = measure_trade(profile, &seeds);
            let title = format!("{}, load 0.75, seeds {seeds:?}", profile.name());
            draw_trade(&points, &title, &out)?;
            print(&points);
        }
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
