use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long, positional};

use super::{Action, Check, Command, Demo, ExplainLogs, Format, LogSubject, SettingsKind, Target};

/// Exit codes, printed at the end of `--help`.
const EXIT_CODES: &str = "Exit codes: 0 done, 1 unreachable, 2 not allowed, 3 conflict, \
4 not found, 5 not yet (wait), 6 undecided, 7 too old (watch)";

fn target() -> impl Parser<Target> {
    let entries = long("entry")
        .short('e')
        .env("MASTKNOT_ENTRY")
        .help("Operators' address of an entry; repeat it to query several entries")
        .argument::<SocketAddr>("ADDRESS")
        .some("no entry: give --entry ADDRESS or set MASTKNOT_ENTRY");
    let format = long("output")
        .short('o')
        .help("table or json [default: table]")
        .argument::<Format>("FORMAT")
        .fallback(Format::Table);
    construct!(Target { entries, format })
}

fn kind() -> impl Parser<String> {
    positional::<String>("KIND").help(
        "Stored: service, team, profile, configuration, drained-hall, hall-share; live: jobs, targets, halls, \
entries, decisions, status",
    )
}

fn stored_kind() -> impl Parser<String> {
    positional::<String>("KIND")
        .help("service, team, profile, configuration, drained-hall or hall-share")
}

fn name() -> impl Parser<String> {
    positional::<String>("NAME").help("Name of the resource")
}

fn remote(action: impl Parser<Action> + 'static) -> OptionParser<Command> {
    let target = target();
    construct!(Command::Remote { target, action }).to_options()
}

fn get() -> impl Parser<Command> {
    let (kind, name) = (kind(), name().optional());
    remote(construct!(Action::Get { kind, name }))
        .descr("Print stored or live resources")
        .command("get")
}

fn apply() -> impl Parser<Command> {
    let file = long("file")
        .short('f')
        .help("JSON file with a resource or a list of them: kind, name, value; version if known")
        .argument::<PathBuf>("FILE");
    remote(construct!(Action::Apply { file }))
        .descr("Create or change stored resources; a write in between is reported as a conflict")
        .command("apply")
}

fn delete() -> impl Parser<Command> {
    let (kind, name) = (stored_kind(), name());
    remote(construct!(Action::Delete { kind, name }))
        .descr("Delete a stored resource")
        .command("delete")
}

fn watch() -> impl Parser<Command> {
    let from = long("from")
        .help("Resume after this version (for decisions: after this number)")
        .argument::<u64>("VERSION")
        .optional();
    let count = long("count")
        .help("End after this many lines")
        .argument::<u64>("N")
        .optional();
    let kind = kind();
    remote(construct!(Action::Watch { from, count, kind }))
        .descr("Print changes as they occur, one JSON object a line")
        .command("watch")
}

fn wait() -> impl Parser<Command> {
    let version = long("in-force")
        .help("Wait until this configuration version is in force on every node; without a version, the newest")
        .argument::<u64>("VERSION")
        .optional();
    let timeout = long("timeout")
        .help("Seconds to wait at most [default: 30]")
        .argument::<u64>("SECONDS")
        .fallback(30)
        .map(Duration::from_secs);
    remote(construct!(Action::Wait { version, timeout }))
        .descr("Wait until the configuration is in force everywhere")
        .command("wait")
}

fn explain() -> impl Parser<Command> {
    let logs = long("logs")
        .help("Log file of an entry or a side to read instead of calling entries; may be repeated")
        .argument::<PathBuf>("FILE")
        .some("no log file");
    let summary = long("summary")
        .help("Why jobs were not done in time: by cause, queue, entry and second")
        .req_flag(LogSubject::Summary);
    let id = positional::<String>("ID")
        .help("Request, job or run as the logs name it")
        .map(LogSubject::Id);
    let subject = construct!([summary, id]);
    let from_logs = construct!(ExplainLogs { logs, subject }).map(Command::ExplainLogs);
    let key = positional::<String>("KEY").help("Key of a job or request");
    let action = construct!(Action::Explain { key });
    let target = target();
    let from_entries = construct!(Command::Remote { target, action });
    construct!([from_logs, from_entries])
        .to_options()
        .descr("Print why a submission was placed, refused or tried again, decision by decision")
        .command("explain")
}

fn drain() -> impl Parser<Command> {
    let target = positional::<String>("TARGET").help("Name of the side");
    remote(construct!(Action::Drain { target }))
        .descr("Drain a target: running tasks finish, no new tasks start")
        .command("drain")
}

fn hall() -> impl Parser<String> {
    positional::<String>("HALL").help("Name of the hall")
}

fn drain_hall() -> impl Parser<Command> {
    let reason = long("reason")
        .help("Reason, shown to other operators")
        .argument::<String>("TEXT")
        .fallback(String::new());
    let hall = hall();
    remote(construct!(Action::DrainHall { reason, hall }))
        .descr("Drain a hall: its targets get no new work, running tasks finish")
        .command("drain-hall")
}

fn return_hall() -> impl Parser<Command> {
    let hall = hall();
    remote(construct!(Action::ReturnHall { hall }))
        .descr("Return a drained hall: its targets get work again")
        .command("return-hall")
}

fn check() -> impl Parser<Command> {
    let kind = positional::<SettingsKind>("KIND").help("entry or side");
    let file = positional::<PathBuf>("FILE").help("Settings file (TOML)");
    construct!(Check { kind, file })
        .map(Command::Check)
        .to_options()
        .descr("Check a complete settings file without starting anything")
        .command("check")
}

fn demo() -> impl Parser<Command> {
    let json = long("json").help("Print one JSON object a step").switch();
    let keep = long("keep")
        .help("Leave the system running afterwards, until interrupted")
        .switch();
    construct!(Demo { json, keep })
        .map(Command::Demo)
        .to_options()
        .descr("Run a complete system inside this process and show its guarantees, step by step")
        .command("demo")
}

/// Returns the parser of the complete command line.
pub(crate) fn options() -> OptionParser<Command> {
    let (get, apply, delete, watch) = (get(), apply(), delete(), watch());
    let (wait, explain, drain, check, demo) = (wait(), explain(), drain(), check(), demo());
    let (drain_hall, return_hall) = (drain_hall(), return_hall());
    construct!([
        get,
        apply,
        delete,
        watch,
        wait,
        explain,
        drain,
        drain_hall,
        return_hall,
        check,
        demo
    ])
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("Operate mastknot, a dispatcher for sub-second tasks")
    .footer(EXIT_CODES)
}
