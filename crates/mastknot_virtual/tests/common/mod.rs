//! Fixtures and assertions that the tests of this crate share.
#![allow(dead_code)]

use std::time::Duration;

use mastknot_core::message::{Payload, Reply, Submission, SubmissionAnswer, SubmissionKind};
use mastknot_core::types::SubmissionKey;
use mastknot_virtual::{Delays, VirtualSystem};

/// Time within which the rosters and configurations of all processes have settled.
pub const SETTLE: Duration = Duration::from_secs(5);

/// Returns a settled system with entries in the halls `h1`, `h2`, ... and sides of `slots` slots in the same
/// halls. Requests to the service `look` may be repeated, those to `pay` may not.
pub fn system(entries: usize, sides: usize, slots: u16, seed: u64) -> VirtualSystem {
    let mut system = VirtualSystem::new(Delays::KALAHARI, seed);
    for index in 0..entries {
        system.add_entry(&format!("h{}", index + 1), |settings| settings);
    }
    for index in 0..sides {
        system.add_side(&format!("h{}", index % entries.max(1) + 1), slots);
    }
    system.write_resource("service", "pay", r#"{"path":"/pay"}"#);
    system.write_resource("service", "look", r#"{"path":"/look","repeatable":true}"#);
    system.run_for(SETTLE);
    system
}

/// Returns the payload of a task that runs for `millis`; `text` makes it differ from other payloads.
pub fn task(millis: u64, text: &str) -> Payload {
    format!("{} {text}", millis * 1_000).into_bytes().into()
}

/// Returns a job of `count` tasks that run for `millis` each.
pub fn job(key: SubmissionKey, count: usize, millis: u64) -> Submission {
    Submission {
        key,
        kind: SubmissionKind::Job,
        team: "team".into(),
        customer: "customer".into(),
        service: "pay".into(),
        deadline_ms: 10_000,
        tasks: (0..count)
            .map(|index| task(millis, &format!("{key}/{index}")))
            .collect(),
    }
}

/// Returns a request to a service that runs for `millis`.
pub fn request(key: SubmissionKey, service: &str, millis: u64) -> Submission {
    Submission {
        kind: SubmissionKind::Request,
        service: service.into(),
        ..job(key, 1, millis)
    }
}

/// Returns a new key whose partition the given entry owns.
pub fn key_held_by(system: &mut VirtualSystem, entry: usize) -> SubmissionKey {
    loop {
        let key = system.new_key();
        let core = system.entry(entry).expect("the entry is up");
        let me = core.membership().me().id.clone();
        let roster = core.membership().roster().expect("the entry has a roster");
        if roster.holder(key).is_some_and(|holder| holder.id == me) {
            return key;
        }
    }
}

/// Returns whether the reply is a complete answer.
pub fn is_complete(reply: Option<&Reply>) -> bool {
    matches!(reply, Some(Reply::Answered(SubmissionAnswer::Complete(_))))
}

/// Panics if the audit recorded a violation of a guarantee.
pub fn assert_kept(system: &VirtualSystem) {
    assert_eq!(system.audit.violations(), &[]);
}
