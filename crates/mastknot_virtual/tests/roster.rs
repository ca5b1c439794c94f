//! The roster of entries: which entries are in it, and which must not be removed.

mod common;

use std::time::Duration;

use common::{assert_kept, is_complete, job, key_held_by, system};

/// Guards against removing an entry that has no messages to send.
#[test]
fn idle_peers_stay_in_the_roster() {
    let mut system = system(2, 1, 4, 1);
    let version = system.entry(0).unwrap().membership().version();
    system.run_for(Duration::from_secs(60));
    assert_eq!(system.entry(0).unwrap().membership().version(), version);
}

#[test]
fn a_job_sent_to_the_wrong_entry_reaches_its_owner() {
    let mut system = system(2, 2, 4, 2);
    let key = key_held_by(&mut system, 1);
    let request = system.submit(0, job(key, 10, 100));
    system.run_for(Duration::from_secs(2));
    assert!(
        is_complete(system.reply(request)),
        "{:?}",
        system.reply(request)
    );
    assert_eq!(system.audit.total_starts(), 10);
    assert_kept(&system);
}
