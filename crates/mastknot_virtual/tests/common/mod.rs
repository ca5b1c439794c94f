//! What the tests of this crate share.
#![allow(dead_code)]

use std::time::Duration;

use mastknot_core::message::{Payload, Reply, Submission, SubmissionAnswer, SubmissionKind};
use mastknot_core::types::SubmissionKey;
use mastknot_virtual::{Delays, VirtualSystem};

/// Long enough for every roster and configuration to settle.
pub const SETTLE: Duration = Duration::from_secs(5);

/// Entries in halls `h1`, `h2`, ... and sides of `slots` slots beside them, with the services
/// `pay` (may not be repeated) and `look` (may be), settled.
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

/// The bytes of a task that runs this long; `text` makes them unlike others.
pub fn task(millis: u64, text: &str) -> Payload {
    format!("{} {text}", millis * 1_000).into_bytes().into()
}

/// A job of `count` tasks that each run `millis`.
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

/// One request to a service.
pub fn request(key: SubmissionKey, service: &str, millis: u64) -> Submission {
    Submission {
        kind: SubmissionKind::Request,
        service: service.into(),
        ..job(key, 1, millis)
    }
}

/// A key made now that an entry holds.
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

/// Whether a reply is a complete answer.
pub fn is_complete(reply: Option<&Reply>) -> bool {
    matches!(reply, Some(Reply::Answered(SubmissionAnswer::Complete(_))))
}

/// Fails unless every promise was kept.
pub fn assert_kept(system: &VirtualSystem) {
    assert_eq!(system.audit.violations(), &[]);
}
