//! Every fault at every step, then pairs of faults, with the real cores, small fakes and virtual time.
//!
//! After each cell all guarantees are checked: no task starts twice, no answer is partial or belongs to another
//! request, no reply reports "not run" falsely, each caller whose entry survived gets one reply, no configuration is
//! reverted, and the system serves requests again once the faults are over. `docs/FAULTS.md` lists the results.

mod common;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use common::{is_complete, job, request, system};
use expect_test::expect_file;
use mastknot_core::message::{Ran, Reply, SubmissionAnswer};
use mastknot_core::types::NodeName;
use mastknot_virtual::{
    FaultRule, MessageFault, MessageKind, ProcessFault, Trigger, VirtualSystem,
};

/// Duration of a pause of a process: longer than any authority or credit is valid.
const PAUSE: Duration = Duration::from_secs(4);
/// Duration of faults of the store and of partitions between halls.
const OUTAGE: Duration = Duration::from_secs(4);
/// Deadline of the callers.
const DEADLINE: Duration = Duration::from_secs(10);

/// Step in the processing of requests and configurations at which a fault happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Submit,
    Forward,
    Replied,
    Credit,
    Start,
    Run,
    Answer,
    Lend,
    Store,
    Takeover,
    HandOver,
    Watch,
    Apply,
    Drain,
}

const STEPS: [Step; 14] = [
    Step::Submit,
    Step::Forward,
    Step::Replied,
    Step::Credit,
    Step::Start,
    Step::Run,
    Step::Answer,
    Step::Lend,
    Step::Store,
    Step::Takeover,
    Step::HandOver,
    Step::Watch,
    Step::Apply,
    Step::Drain,
];

impl Step {
    /// Returns the kind of message that marks the step.
    fn kind(self) -> MessageKind {
        match self {
            Self::Submit => MessageKind::Submit,
            Self::Forward => MessageKind::Forward,
            Self::Replied => MessageKind::Replied,
            Self::Credit => MessageKind::Grant,
            Self::Start => MessageKind::Start,
            Self::Run => MessageKind::Run,
            Self::Answer => MessageKind::Answer,
            Self::Lend => MessageKind::Lend,
            Self::Store => MessageKind::Store,
            Self::Takeover => MessageKind::Roster,
            Self::HandOver => MessageKind::Handover,
            Self::Watch | Self::Apply => MessageKind::Config,
            Self::Drain => MessageKind::Leaving,
        }
    }
}

/// Fault that a cell of the matrix injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Fault {
    MessageLost,
    MessageDelayed,
    MessageDuplicated,
    EntryDies,
    EntryRestarts,
    EntryPausedPastItsLease,
    SideDies,
    SideRestarts,
    SidePausedPastItsCredits,
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
    StaleReads,
    WatchSilent,
    VmListWrong,
    HallCut,
    TargetStraggles,
    TargetRefuses,
    TargetLosesAnswers,
}

const FAULTS: [Fault; 19] = [
    Fault::MessageLost,
    Fault::MessageDelayed,
    Fault::MessageDuplicated,
    Fault::EntryDies,
    Fault::EntryRestarts,
    Fault::EntryPausedPastItsLease,
    Fault::SideDies,
    Fault::SideRestarts,
    Fault::SidePausedPastItsCredits,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::StoreLosesAnswers,
    Fault::StaleReads,
    Fault::WatchSilent,
    Fault::VmListWrong,
    Fault::HallCut,
    Fault::TargetStraggles,
    Fault::TargetRefuses,
    Fault::TargetLosesAnswers,
];

fn message_fault(system: &mut VirtualSystem, kind: MessageKind, fault: MessageFault) {
    let count = 2;
    system.add_rule(FaultRule { kind, fault, count });
}

fn process_fault(
    system: &mut VirtualSystem,
    kind: MessageKind,
    hits_side: bool,
    fault: ProcessFault,
) {
    system.add_trigger(Trigger {
        kind,
        skip: 1,
        hits_side,
        fault,
    });
}

/// Injects a fault at a step. [`end`] ends the faults that last.
fn begin(system: &mut VirtualSystem, step: Step, fault: Fault) {
    let kind = step.kind();
    let restart = ProcessFault::Restarts(Duration::from_secs(2));
    match fault {
        Fault::MessageLost => message_fault(system, kind, MessageFault::Lost),
        Fault::MessageDelayed => {
            message_fault(
                system,
                kind,
                MessageFault::Delayed(Duration::from_millis(700)),
            );
        }
        Fault::MessageDuplicated => {
            message_fault(
                system,
                kind,
                MessageFault::Duplicated(Duration::from_millis(300)),
            );
        }
        Fault::EntryDies => process_fault(system, kind, false, ProcessFault::Dies),
        Fault::EntryRestarts => process_fault(system, kind, false, restart),
        Fault::EntryPausedPastItsLease => {
            process_fault(system, kind, false, ProcessFault::Pauses(PAUSE));
        }
        Fault::SideDies => process_fault(system, kind, true, ProcessFault::Dies),
        Fault::SideRestarts => process_fault(system, kind, true, restart),
        Fault::SidePausedPastItsCredits => {
            process_fault(system, kind, true, ProcessFault::Pauses(PAUSE));
        }
        Fault::StoreDown => system.store.faults.is_down = true,
        Fault::StoreSlow => system.store.faults.extra_delay = Duration::from_millis(800),
        Fault::StoreLosesAnswers => system.store.faults.lose_answers = 2,
        Fault::StaleReads => system.store.faults.stale_writes = 1,
        Fault::WatchSilent => system.store.faults.is_watch_silent = true,
        Fault::VmListWrong => {
            system.report_vm_gone("entry-1");
            system.report_vm_gone("side-1");
        }
        Fault::HallCut => system.partition("h1", "h2"),
        Fault::TargetStraggles => system.set_target_slowdown(0, 1_000),
        Fault::TargetRefuses => system.set_refusing(0, true),
        Fault::TargetLosesAnswers => system.lose_target_answers(0, 3),
    }
}

/// Ends a fault that continues until it is ended. Other faults are single events.
fn end(system: &mut VirtualSystem, fault: Fault) {
    match fault {
        Fault::StoreDown => system.store.faults.is_down = false,
        Fault::StoreSlow => system.store.faults.extra_delay = Duration::ZERO,
        Fault::StaleReads => system.store.faults.stale_writes = 0,
        Fault::WatchSilent => system.store.faults.is_watch_silent = false,
        Fault::HallCut => system.heal("h1", "h2"),
        Fault::TargetStraggles => system.set_target_slowdown(0, 100),
        Fault::TargetRefuses => system.set_refusing(0, false),
        Fault::TargetLosesAnswers => system.lose_target_answers(0, 0),
        _ => {}
    }
}

/// Numbers of replies that the callers of one cell received, by outcome.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    complete: u32,
    failed: u32,
    not_run: u32,
    unknown: u32,
    broken: u32,
}

impl Seen {
    /// Returns a text with the outcomes that occurred and their numbers.
    fn to_text(self) -> String {
        let parts = [
            (self.complete, "complete"),
            (self.failed, "failed"),
            (self.not_run, "not run"),
            (self.unknown, "unknown"),
            (self.broken, "connection broken"),
        ];
        let named = parts.iter().filter(|(count, _)| *count > 0);
        let texts: Vec<String> = named
            .map(|(count, name)| format!("{count} {name}"))
            .collect();
        texts.join(", ")
    }
}

/// Submits work that passes through every step, with resubmissions through another entry.
fn load(system: &mut VirtualSystem, from: u64) {
    for index in 0..24_u64 {
        let at = from + index * 80_000;
        let entry = (index % 3) as usize;
        let mut key = system.new_key();
        // A key carries the time at which its caller sends the submission.
        let wall = system.wall_at(at);
        key = mastknot_core::types::SubmissionKey::new(wall, u128::from_be_bytes(key.to_bytes()));
        let submission = match index % 3 {
            0 => job(key, 6, 60),
            1 => request(key, "pay", 60),
            _ => {
                system.audit.allow_repeats(key);
                request(key, "look", 60)
            }
        };
        system.submit_at(at, entry, submission.clone());
        system.submit_at(at + 1_500_000, (entry + 1) % 3, submission);
    }
}

/// Runs one cell and returns the outcomes that callers saw.
///
/// # Errors
///
/// Returns a description of the guarantee that was violated.
fn run_cell(step: Step, faults: &[Fault], seed: u64) -> Result<Seen, String> {
    let mut system = system(3, 4, 2, seed);
    let from = system.now();
    load(&mut system, from);
    system.run_for(Duration::from_millis(400));
    for fault in faults {
        begin(&mut system, step, *fault);
    }
    match step {
        Step::Takeover => system.kill_entry(2),
        Step::HandOver => system.stop_entry(2),
        Step::Apply | Step::Watch => {
            system.write_resource("team", "team", r#"{"quota":50}"#);
        }
        Step::Drain => system.drain_side(3),
        _ => {}
    }
    system.run_for(OUTAGE);
    for fault in faults {
        end(&mut system, *fault);
    }
    system.run_for(DEADLINE + Duration::from_secs(6));
    check(&mut system)
}

fn check(system: &mut VirtualSystem) -> Result<Seen, String> {
    let seen = count_replies(system)?;
    check_configuration(system)?;
    check_recovery(system)?;
    if !system.audit.violations().is_empty() {
        return Err(format!("{:?}", system.audit.violations()));
    }
    Ok(seen)
}

fn count_replies(system: &VirtualSystem) -> Result<Seen, String> {
    let mut seen = Seen::default();
    for submitted in system.requests() {
        let alive = submitted.sent_to.is_some_and(|(entry, run)| {
            system.entry_incarnation(entry) == run && system.entry(entry).is_some()
        });
        match &submitted.reply {
            Some((_, Reply::Answered(SubmissionAnswer::Complete(_)))) => seen.complete += 1,
            Some((_, Reply::Answered(SubmissionAnswer::Failed { .. }))) => seen.failed += 1,
            Some((_, Reply::Refused(refusal))) if refusal.ran == Ran::NotRun => seen.not_run += 1,
            Some((_, Reply::Refused(_))) => seen.unknown += 1,
            Some((_, Reply::Pending { .. })) => return Err("a waiter got `pending`".to_owned()),
            None if alive => return Err(format!("no answer: {:?}", submitted.submission.key)),
            None => seen.broken += 1,
        }
    }
    Ok(seen)
}

/// Checks that every running entry answers new requests completely once the faults are over.
fn check_recovery(system: &mut VirtualSystem) -> Result<(), String> {
    let live: Vec<usize> = (0..system.entry_count())
        .filter(|entry| system.entry(*entry).is_some())
        .collect();
    if live.is_empty() {
        return Ok(());
    }
    let mut requests = Vec::new();
    for entry in live {
        for _ in 0..4 {
            let key = system.new_key();
            requests.push(system.submit(entry, request(key, "pay", 20)));
        }
    }
    system.run_for(Duration::from_secs(3));
    let stuck = requests.iter().find(|r| !is_complete(system.reply(**r)));
    match stuck {
        Some(request) => Err(format!("not recovered: {:?}", system.reply(*request))),
        None => Ok(()),
    }
}

/// Checks that every running node has the newest configuration in force.
fn check_configuration(system: &VirtualSystem) -> Result<(), String> {
    let newest = system.store.list(0).version;
    let entries = (0..system.entry_count()).filter_map(|entry| system.entry(entry));
    let sides = (0..system.side_count()).filter_map(|side| system.side(side));
    let mut versions: BTreeMap<NodeName, u64> = BTreeMap::new();
    for core in entries {
        let name = core.membership().me().id.name.clone();
        versions.insert(name, core.config().version());
    }
    for core in sides {
        versions.insert(core.hello().side, core.config().version());
    }
    let late: Vec<_> = versions.iter().filter(|(_, v)| **v != newest).collect();
    if late.is_empty() {
        return Ok(());
    }
    Err(format!("not in force (newest {newest}): {late:?}"))
}

/// Runs cells on all processors and returns the results in the order of the cells.
fn run_cells(cells: &[(Step, Vec<Fault>)]) -> Vec<Result<Seen, String>> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let chunk = cells.len().div_ceil(threads).max(1);
    std::thread::scope(|scope| {
        let run = |part: &[(Step, Vec<Fault>)]| -> Vec<Result<Seen, String>> {
            let cells = part.iter();
            cells
                .map(|(step, faults)| run_cell(*step, faults, 7))
                .collect()
        };
        let parts = cells
            .chunks(chunk)
            .map(|part| scope.spawn(move || run(part)));
        let running: Vec<_> = parts.collect();
        let joined = running.into_iter().map(|part| part.join());
        joined
            .flat_map(|part| part.expect("a cell panicked"))
            .collect()
    })
}

fn assert_all_kept(cells: &[(Step, Vec<Fault>)], results: &[Result<Seen, String>]) {
    let pairs = cells.iter().zip(results);
    let broken: Vec<String> = pairs
        .filter_map(|((step, faults), result)| {
            let problem = result.as_ref().err()?;
            Some(format!("{step:?} x {faults:?}: {problem}"))
        })
        .collect();
    assert!(
        broken.is_empty(),
        "{} cells:\n{}",
        broken.len(),
        broken.join("\n")
    );
}

#[test]
fn every_fault_at_every_step() {
    let cells: Vec<(Step, Vec<Fault>)> = STEPS
        .iter()
        .flat_map(|step| FAULTS.iter().map(|fault| (*step, vec![*fault])))
        .collect();
    let results = run_cells(&cells);
    assert_all_kept(&cells, &results);
    let mut table =
        String::from("| step | fault | what the 48 callers saw |\n| --- | --- | --- |\n");
    for ((step, faults), result) in cells.iter().zip(&results) {
        let seen = result
            .as_ref()
            .map(|seen| seen.to_text())
            .unwrap_or_default();
        let _ = writeln!(table, "| {step:?} | {:?} | {seen} |", faults[0]);
    }
    expect_file!["../../../docs/FAULTS-single.md"].assert_eq(&table);
}

#[test]
fn pairs_of_faults_and_the_same_fault_twice() {
    let steps = [Step::Start, Step::Takeover, Step::Apply];
    let mut cells = Vec::new();
    for step in steps {
        for (index, first) in FAULTS.iter().enumerate() {
            for second in &FAULTS[index..] {
                cells.push((step, vec![*first, *second]));
            }
        }
    }
    assert!(cells.len() >= 300, "{} pairs", cells.len());
    let results = run_cells(&cells);
    assert_all_kept(&cells, &results);
}
