//! A configuration that grows, on many sides behind thin links.
//!
//! What users saw: on deployments of 11 entries and 62 sides, a configuration 1,400 routes longer was confirmed
//! and not in force seven seconds later; from some seconds before that on almost every request was
//! refused, and service did not come back.
//!
//! The order of events: a new version is confirmed; each entry sends the whole of it to each of its sides;
//! heartbeats wait behind it in the same links for longer than a lease; sides end the leases and the links,
//! dial again, and are greeted with the whole version once more. The entries' own reads of the store wait
//! behind all that.
//!
//! The cause: a message the size of the configuration for each pair of entry and side, sent without being
//! asked for, and again by the very reconnecting that it brings about.
//!
//! Evidence: an own day with nothing wrong but 1,400 routes more; the counters of link bytes by kind, the late
//! confirmations and the `lease_ended` lines of its logs, and the first test here, in which the cores alone bring
//! the same about.

use std::time::Duration;

use mastknot_core::job::JobId;
use mastknot_virtual::{JobFault, JobFaultPlan, JobSystem, JobSystemSettings};

const ENTRIES: usize = 11;
const SIDES: usize = 62;
/// 25 Mbit/s, in bytes a second.
const THIN_LINK: u64 = 25_000_000 / 8;
/// A configuration of some dozen routes, in bytes.
const SMALL: usize = 3_500;
/// One of 1,400 routes more.
const LARGE: usize = 350_000;
const ALL: [usize; ENTRIES] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

fn system(entry_link: u64) -> JobSystem {
    let mut system = JobSystem::new(JobSystemSettings {
        entries: ENTRIES,
        sides: SIDES,
        cpu_millis: 16_000,
        entry_link: Some(entry_link),
        active_links: None,
        seed: 7,
    });
    system.publish(ms(100), 1, SMALL, &ALL);
    system
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Hands in a job at each entry every `each` milliseconds.
fn submit_steadily(system: &mut JobSystem, from: u64, until: u64, each: usize) -> Vec<JobId> {
    let times = (from..until).step_by(each);
    let all = times.flat_map(|at| ALL.map(|entry| (at, entry)));
    all.map(|(at, entry)| system.submit(ms(at), entry, 2, ms(60)))
        .collect()
}

#[test]
fn a_configuration_that_grows_costs_no_link() {
    let mut system = system(THIN_LINK);
    let jobs = submit_steadily(&mut system, 1_500, 6_000, 20);
    system.publish(ms(2_000), 2, LARGE, &ALL);
    system.run_until(ms(9_000));

    let closed = system.link_record().closed(ms(1_500), ms(9_000));
    assert_eq!(closed, 0, "links were given up though nothing is wrong");
    assert_eq!(system.audit().completed(&jobs), jobs.len());
    assert_eq!(system.versions_in_force(), [2; ENTRIES]);
    assert!(system.violations().is_empty());
}

#[test]
fn the_bytes_of_a_version_grow_with_nodes_and_not_with_pairs() {
    let mut system = system(THIN_LINK);
    system.run_until(ms(2_000));
    let before = system.link_record().bytes(ms(1_000), ms(2_000));
    system.publish(ms(2_000), 2, LARGE, &ALL);
    system.run_until(ms(9_000));

    let after = system.link_record().bytes(ms(2_000), ms(9_000));
    let of_the_version = after.saturating_sub(7 * before);
    let nodes = (ENTRIES + SIDES) as u64;
    assert!(
        of_the_version <= nodes * LARGE as u64,
        "{of_the_version} bytes for {nodes} nodes"
    );
}

#[test]
fn a_flood_of_versions_is_over_within_two_seconds() {
    let mut system = system(THIN_LINK);
    for number in 0..20 {
        system.publish(ms(2_000 + 100 * number), 2 + number, LARGE, &ALL);
    }
    system.run_until(ms(8_000));

    assert_eq!(system.link_record().closed(ms(1_500), ms(8_000)), 0);
    let usual = system.link_record().bytes(ms(1_000), ms(2_000));
    let later = system.link_record().bytes(ms(6_000), ms(7_000));
    assert!(
        later <= usual + usual / 4,
        "{usual} bytes before, {later} after"
    );
}

#[test]
fn links_that_are_all_reset_come_back_at_the_cost_of_small_messages() {
    let mut system = system(THIN_LINK);
    system.publish(ms(500), 2, LARGE, &ALL);
    for entry in 0..ENTRIES {
        for side in 0..SIDES {
            let fault = JobFault::ResetLink { entry, side };
            let at = ms(5_000);
            system.plan(JobFaultPlan { at, fault });
        }
    }
    system.run_until(ms(9_000));

    let pairs = (ENTRIES * SIDES) as u64;
    let opened = system.link_record().opened(ms(5_000), ms(9_000));
    assert_eq!(opened, pairs, "each link is made again once");
    let usual = system.link_record().bytes(ms(4_000), ms(5_000));
    let restoring = system.link_record().bytes(ms(5_000), ms(6_000));
    assert!(
        restoring <= usual * 2,
        "{usual} bytes a second, {restoring} in the second of the resets"
    );
}

#[test]
fn an_entry_that_the_store_turns_away_hears_of_a_version_from_others() {
    let mut system = system(THIN_LINK);
    system.publish(ms(2_000), 2, LARGE, &ALL[1..]);
    system.run_until(ms(4_000));

    assert_eq!(system.versions_in_force(), [2; ENTRIES]);
}

#[test]
fn an_entry_that_starts_while_the_store_is_away_has_the_configuration_at_once() {
    let mut system = system(THIN_LINK);
    system.publish(ms(2_000), 2, LARGE, &ALL);
    system.run_until(ms(5_000));
    system.set_store_reachable(false);
    let down = ms(200);
    let fault = JobFault::KillEntry { entry: 3, down };
    system.plan(JobFaultPlan {
        at: ms(5_000),
        fault,
    });
    system.run_until(ms(5_200 + 600));

    assert_eq!(system.versions_in_force(), [2; ENTRIES]);
}

/// On links of 2 Mbit/s, 4 entries and 22 sides: the longest wait is 7.2 ms with and without a new version; it is that of
/// the last of 22 heartbeats that are sent together.
#[test]
fn small_messages_wait_five_milliseconds_at_most_behind_a_version() {
    let longest = |with_version| {
        let mut system = JobSystem::new(JobSystemSettings {
            entries: 4,
            sides: 22,
            cpu_millis: 16_000,
            entry_link: Some(2_000_000 / 8),
            active_links: None,
            seed: 7,
        });
        system.publish(ms(100), 1, SMALL, &ALL[..4]);
        if with_version {
            system.publish(ms(2_000), 2, LARGE, &ALL[..4]);
        }
        system.run_until(ms(20_000));
        let record = system.link_record();
        assert_eq!(record.closed(ms(1_000), ms(20_000)), 0);
        record.longest_wait(ms(2_000), ms(20_000))
    };
    let (usual, with_version) = (longest(false), longest(true));
    let added = with_version.saturating_sub(usual);
    assert!(
        added <= ms(5),
        "{usual:?} usually, {with_version:?} with a version"
    );
}

/// What strikes all entries or all sides at once, two seconds after a large configuration.
fn strikes() -> Vec<(&'static str, Vec<JobFault>)> {
    let entries = 0..ENTRIES;
    let sides = 0..SIDES;
    let down = ms(100);
    let second = ms(1_000);
    let time = ms(3_000);
    let pairs = entries
        .clone()
        .flat_map(|entry| (0..SIDES).map(move |side| (entry, side)));
    vec![
        (
            "all links reset",
            pairs
                .map(|(entry, side)| JobFault::ResetLink { entry, side })
                .collect(),
        ),
        (
            "all entries started anew",
            entries
                .clone()
                .map(|entry| JobFault::KillEntry { entry, down })
                .collect(),
        ),
        (
            "all sides started anew",
            sides
                .clone()
                .map(|side| JobFault::KillSide { side, down })
                .collect(),
        ),
        (
            "all entries held for a second",
            entries
                .clone()
                .map(|entry| JobFault::PauseEntry {
                    entry,
                    time: second,
                })
                .collect(),
        ),
        (
            "a tenth of the bandwidth for three seconds",
            entries
                .map(|entry| JobFault::ThrottleEntry { entry, time })
                .collect(),
        ),
    ]
}

#[test]
fn whatever_strikes_the_links_all_is_as_before_two_seconds_later() {
    for (what, faults) in strikes() {
        let mut system = system(THIN_LINK);
        system.publish(ms(2_000), 2, LARGE, &ALL);
        for fault in faults {
            system.plan(JobFaultPlan {
                at: ms(5_000),
                fault,
            });
        }
        submit_steadily(&mut system, 1_500, 14_000, 100);
        // The longest of them goes on for three seconds.
        system.run_until(ms(14_000));
        let record = system.link_record();
        let restless =
            record.opened(ms(10_000), ms(14_000)) + record.closed(ms(10_000), ms(14_000));
        assert_eq!(restless, 0, "links still come and go after: {what}");
        let usual = record.bytes(ms(4_000), ms(5_000));
        let later = record.bytes(ms(12_000), ms(13_000));
        assert!(
            later <= usual + usual / 5,
            "{usual} bytes a second, {later} after: {what}"
        );
        assert_eq!(system.versions_in_force(), [2; ENTRIES], "{what}");
        assert!(
            system.violations().is_empty(),
            "{what}: {:?}",
            system.violations()
        );
    }
}
