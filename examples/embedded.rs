//! Embeds the cores of one entry and one side in a program and runs a job.
//!
//! The program passes the messages between the two cores directly; a real program would use its own
//! network and clock.

use mastknot::message::{
    EntryMessage, Reply, Submission, SubmissionAnswer, SubmissionKind, TaskOutcome, TaskResult,
};
use mastknot::types::{Incarnation, Moment, Now, SubmissionKey, WallTime};
use mastknot::{
    CallerRequest, EntryCore, EntryEffect, EntryEvent, EntrySettings, Member, MemberId, Roster,
    SideCore, SideEffect, SideEvent, SideSettings,
};

fn now(millis: u64) -> Now {
    Now {
        monotonic: Moment::from_millis(millis),
        wall: WallTime::from_millis(1_800_000_000_000 + millis),
    }
}

/// Carries out the effects of the entry, and of the side in turn, until no effect is left.
fn carry_out(entry: &mut EntryCore, side: &mut SideCore, mut effects: Vec<EntryEffect>, at: Now) {
    while !effects.is_empty() {
        let mut next = Vec::new();
        for effect in effects {
            match effect {
                EntryEffect::ToSide { message, .. } => {
                    next.extend(step_side(entry, side, message, at));
                }
                EntryEffect::Reply { reply, .. } => print_reply(&reply),
                _ => {}
            }
        }
        effects = next;
    }
}

/// Passes a message of the entry to the side and returns the effects of the entry that follow.
fn step_side(
    entry: &mut EntryCore,
    side: &mut SideCore,
    message: EntryMessage,
    at: Now,
) -> Vec<EntryEffect> {
    let from = "entry-1".into();
    let event = SideEvent::FromEntry {
        entry: from,
        message,
    };
    let effects = side.step(at.monotonic, event);
    carry_out_side(entry, side, effects, at)
}

/// Carries out the effects of the side and returns the effects of the entry that follow.
fn carry_out_side(
    entry: &mut EntryCore,
    side: &mut SideCore,
    effects: Vec<SideEffect>,
    at: Now,
) -> Vec<EntryEffect> {
    let mut entry_effects = Vec::new();
    for effect in effects {
        match effect {
            SideEffect::Send { message, .. } => {
                let event = EntryEvent::FromSide {
                    side: "side-1".into(),
                    incarnation: Incarnation(1),
                    message,
                };
                entry_effects.extend(entry.step(at, event));
            }
            SideEffect::Run(order) => {
                println!("the target runs task {}", order.task.index);
                let body = order.payload;
                let outcome = TaskOutcome::Done(TaskResult { status: 200, body });
                let task = order.task;
                let ended = SideEvent::TaskEnded { task, outcome };
                let effects = side.step(at.monotonic, ended);
                entry_effects.extend(carry_out_side(entry, side, effects, at));
            }
            SideEffect::Abort(_) => {}
        }
    }
    entry_effects
}

fn print_reply(reply: &Reply) {
    match reply {
        Reply::Answered(SubmissionAnswer::Complete(results)) => {
            println!("complete: {} answers", results.len());
        }
        other => println!("{other:?}"),
    }
}

fn main() {
    let me = Member {
        id: MemberId {
            name: "entry-1".into(),
            incarnation: Incarnation(1),
        },
        address: "127.0.0.1:1".into(),
        hall: "windhoek-1".into(),
    };
    let mut entry = EntryCore::new(EntrySettings::new(me.clone()));
    let mut side = SideCore::new(SideSettings::new("side-1", "windhoek-1").slots(2));

    // The platform's store lists this entry as the only member and defines one service.
    let found = Some((1, Roster::first(me)));
    let sent_at = now(0).monotonic;
    let read = EntryEvent::RosterRead { sent_at, found };
    let effects = entry.step(now(1), read);
    carry_out(&mut entry, &mut side, effects, now(1));
    let orders = mastknot::message::ConfigItem {
        resource: mastknot::message::ResourceName::new("service", "orders"),
        version: 1,
        value: Some(r#"{"path":"/run"}"#.into()),
    };
    let delta = mastknot::message::ConfigDelta {
        base: 0,
        version: 1,
        items: vec![orders],
    };
    entry.step(now(2), EntryEvent::Config(delta));

    // The side joins and grants its slots to the entry.
    let joined = SideEvent::EntryJoined {
        entry: "entry-1".into(),
    };
    let effects = side.step(now(3).monotonic, joined);
    let effects = carry_out_side(&mut entry, &mut side, effects, now(3));
    carry_out(&mut entry, &mut side, effects, now(3));

    // A caller submits a job of three tasks.
    let submission = Submission {
        key: SubmissionKey::new(now(4).wall, 7),
        kind: SubmissionKind::Job,
        team: "kalahari".into(),
        customer: "kapana-7".into(),
        service: "orders".into(),
        deadline_ms: 1_000,
        tasks: vec![b"1".as_slice().into(); 3],
    };
    let ask = CallerRequest::Submit {
        submission,
        wait: true,
    };
    let effects = entry.step(now(4), EntryEvent::FromCaller { request: 1, ask });
    carry_out(&mut entry, &mut side, effects, now(4));

    for (id, _, decision) in entry.decisions().since(0) {
        println!("decision {id}: {:?}", decision.rule);
    }
}
