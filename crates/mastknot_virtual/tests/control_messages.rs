//! Checks that the number of control messages stays bounded with any number of sides.

mod common;

use std::time::Duration;

use common::{SETTLE, assert_kept, is_complete, job, system};
use mastknot_virtual::{Delays, MessageKind, VirtualSystem};

/// Guards against entries that each send every change to every side.
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
    // Each side receives the change once and acknowledges it to each entry, and each entry reports it to each peer.
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

/// Guards against renewing the idle credits of each side with a message of its own.
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

/// Guards against a large job that asks as many sides for credits as it has tasks.
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

/// Guards against entries that report every team with running tasks to each other, whatever its quota.
#[test]
fn only_teams_near_their_quota_are_reported_to_peers() {
    let messages_to_peers = |quota: u32| {
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
    assert_eq!(messages_to_peers(100_000), 0);
    assert!(messages_to_peers(4) > 0);
}
