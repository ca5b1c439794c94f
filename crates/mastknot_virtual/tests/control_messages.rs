//! Control messages stay within bounds, however many sides there are.

mod common;

use std::time::Duration;

use common::{SETTLE, assert_kept, is_complete, job, system};
use mastknot_virtual::{Delays, MessageKind, VirtualSystem};

/// Found with the slopes: every entry sent every change to every side at once.
#[test]
fn a_change_goes_to_each_side_once() {
    let mut system = system(3, 6, 2, 1);
    let before = system.messages.of(MessageKind::Config);
    let heartbeats = {
        system.run_for(SETTLE);
        system.messages.of(MessageKind::Config) - before
    };
    let before = system.messages.of(MessageKind::Config);
    system.write_resource("team", "team", r#"{"quota":7}"#);
    system.run_for(SETTLE);
    let sent = system.messages.of(MessageKind::Config) - before - heartbeats;
    // To each side once, its acknowledgement to each entry, and each entry's word to each peer.
    let (to_sides, acknowledgements, to_peers) = (6, 6 * 3, 3 * 2);
    assert_eq!(sent, to_sides + acknowledgements + to_peers);
    assert_kept(&system);
}

fn large_system(sides: usize) -> VirtualSystem {
    let mut system = VirtualSystem::new(Delays::KALAHARI, 1);
    for hall in ["h1", "h2", "h3", "h4"] {
        system.add_entry(hall, |settings| settings);
    }
    for index in 0..sides {
        system.add_side(&format!("h{}", index % 4 + 1), 8);
    }
    system.write_resource("service", "pay", r#"{"path":"/pay"}"#);
    system.run_for(SETTLE);
    system
}

/// Idle credits were renewed side by side: with many sides, one message each.
#[test]
fn an_idle_system_renews_a_bounded_number_of_credits() {
    let mut system = large_system(200);
    let before = system.messages.of(MessageKind::Exchange);
    system.run_for(Duration::from_secs(10));
    let exchanges = system.messages.of(MessageKind::Exchange) - before;
    assert!(
        exchanges <= 4 * 12 * 10 + 48,
        "{exchanges} exchanges of 4 entries in 10 s"
    );
}

/// A large job asked as many sides as it had tasks.
#[test]
fn a_large_job_asks_only_as_many_sides_as_have_the_slots() {
    let mut system = large_system(200);
    system.run_for(Duration::from_secs(10));
    let before = system.messages.of(MessageKind::Exchange);
    let key = system.new_key();
    let request = system.submit(0, job(key, 400, 100));
    system.run_for(Duration::from_millis(150));
    let exchanges = system.messages.of(MessageKind::Exchange) - before;
    assert!(
        is_complete(system.reply(request)),
        "{:?}",
        system.reply(request)
    );
    assert!(
        exchanges <= 70,
        "{exchanges} exchanges for 400 tasks on slots of 8"
    );
    assert_kept(&system);
}

/// Entries named every team with running tasks to each other, whatever its quota.
#[test]
fn only_teams_near_their_quota_are_named_to_peers() {
    let told = |quota: u32| {
        let mut system = system(2, 2, 8, 5);
        let value = format!(r#"{{"quota":{quota}}}"#);
        system.write_resource("team", "team", &value);
        system.run_for(SETTLE);
        let before = system.messages.of(MessageKind::Other);
        for _ in 0..4 {
            let key = system.new_key();
            system.submit(0, job(key, 8, 900));
        }
        system.run_for(Duration::from_secs(6));
        assert_kept(&system);
        system.messages.of(MessageKind::Other) - before
    };
    assert_eq!(told(100_000), 0);
    assert!(told(4) > 0);
}
