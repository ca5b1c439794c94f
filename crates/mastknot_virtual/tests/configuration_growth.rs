//! Guards against overload by a configuration that grows, on many sides behind bandwidth-limited links.
//!
//! With 11 entries, 62 sides and 1,400 more routes, a confirmed configuration was not in force seven seconds later,
//! almost every request was refused, and service did not recover. Each entry sent the whole version to each of its
//! sides without being asked. Heartbeats waited behind it in the same links for longer than a lease, so sides ended the
//! leases and the links, dialed again and received the whole version once more. The entries' own reads of the store
//! waited behind that traffic as well. The cause was a message of the size of the configuration for each pair of entry
//! and side, repeated by the reconnects that it caused. The first test reproduces this with the cores alone.

use std::time::Duration;

use mastknot_core::job::JobId;
use mastknot_virtual::{JobFault, JobFaultPlan, JobSystem, JobSystemSettings};

const ENTRIES: usize = 11;
const SIDES: usize = 62;
/// Bandwidth of an entry's link: 25 Mbit/s, in bytes per second.
const ENTRY_LINK_BYTES_PER_S: u64 = 25_000_000 / 8;
/// Size of a configuration of some dozen routes, in bytes.
const SMALL_CONFIG: usize = 3_500;
/// Size of a configuration with 1,400 more routes, in bytes.
const LARGE_CONFIG: usize = 350_000;
/// Indexes of all entries.
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
    system.publish(ms(100), 1, SMALL_CONFIG, &ALL);
    system
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Submits a job at each entry every `each` milliseconds.
fn submit_steadily(system: &mut JobSystem, from: u64, until: u64, each: usize) -> Vec<JobId> {
    let times = (from..until).step_by(each);
    let all = times.flat_map(|at| ALL.map(|entry| (at, entry)));
    all.map(|(at, entry)| system.submit(ms(at), entry, 2, ms(60)))
        .collect()
}

#[test]
fn a_configuration_that_grows_closes_no_link() {
    let mut system = system(ENTRY_LINK_BYTES_PER_S);
    let jobs = submit_steadily(&mut system, 1_500, 6_000, 20);
    system.publish(ms(2_000), 2, LARGE_CONFIG, &ALL);
    system.run_until(ms(9_000));

    let closed = system.link_record().closed(ms(1_500), ms(9_000));
    assert_eq!(closed, 0, "links were closed although there was no fault");
    assert_eq!(system.audit().completed(&jobs), jobs.len());
    assert_eq!(system.versions_in_force(), [2; ENTRIES]);
    assert!(system.violations().is_empty());
}

#[test]
fn the_bytes_of_a_version_grow_with_nodes_and_not_with_pairs() {
    let mut system = system(ENTRY_LINK_BYTES_PER_S);
    system.run_until(ms(2_000));
    let before = system.link_record().bytes(ms(1_000), ms(2_000));
    system.publish(ms(2_000), 2, LARGE_CONFIG, &ALL);
    system.run_until(ms(9_000));

    let after = system.link_record().bytes(ms(2_000), ms(9_000));
    let of_the_version = after.saturating_sub(7 * before);
    let nodes = (ENTRIES + SIDES) as u64;
    assert!(
        of_the_version <= nodes * LARGE_CONFIG as u64,
        "{of_the_version} bytes for {nodes} nodes"
    );
}

#[test]
fn a_flood_of_versions_is_over_within_two_seconds() {
    let mut system = system(ENTRY_LINK_BYTES_PER_S);
    for number in 0..20 {
        system.publish(ms(2_000 + 100 * number), 2 + number, LARGE_CONFIG, &ALL);
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
fn resetting_all_links_costs_only_small_messages() {
    let mut system = system(ENTRY_LINK_BYTES_PER_S);
    system.publish(ms(500), 2, LARGE_CONFIG, &ALL);
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
    assert_eq!(opened, pairs, "each link is opened again exactly once");
    let usual = system.link_record().bytes(ms(4_000), ms(5_000));
    let restoring = system.link_record().bytes(ms(5_000), ms(6_000));
    assert!(
        restoring <= usual * 2,
        "{usual} bytes a second, {restoring} in the second of the resets"
    );
}

#[test]
fn an_entry_that_the_store_rejects_receives_a_version_from_others() {
    let mut system = system(ENTRY_LINK_BYTES_PER_S);
    system.publish(ms(2_000), 2, LARGE_CONFIG, &ALL[1..]);
    system.run_until(ms(4_000));

    assert_eq!(system.versions_in_force(), [2; ENTRIES]);
}

#[test]
fn an_entry_that_starts_while_the_store_is_unreachable_has_the_configuration_at_once() {
    let mut system = system(ENTRY_LINK_BYTES_PER_S);
    system.publish(ms(2_000), 2, LARGE_CONFIG, &ALL);
    system.run_until(ms(5_000));
    system.set_store_reachable(false);
    let downtime = ms(200);
    let fault = JobFault::KillEntry { entry: 3, downtime };
    system.plan(JobFaultPlan {
        at: ms(5_000),
        fault,
    });
    system.run_until(ms(5_200 + 600));

    assert_eq!(system.versions_in_force(), [2; ENTRIES]);
}

/// Guards against small messages that wait behind a new configuration version, on links of 2 Mbit/s with 4 entries and
/// 22 sides. The longest wait is 7.2 ms with and without a new version: that of the last of 22 heartbeats that are sent
/// together.
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
        system.publish(ms(100), 1, SMALL_CONFIG, &ALL[..4]);
        if with_version {
            system.publish(ms(2_000), 2, LARGE_CONFIG, &ALL[..4]);
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

/// Returns named sets of faults that hit all entries, all sides or all links at once.
fn widespread_faults() -> Vec<(&'static str, Vec<JobFault>)> {
    let entries = 0..ENTRIES;
    let sides = 0..SIDES;
    let downtime = ms(100);
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
            "all entries restarted",
            entries
                .clone()
                .map(|entry| JobFault::KillEntry { entry, downtime })
                .collect(),
        ),
        (
            "all sides restarted",
            sides
                .clone()
                .map(|side| JobFault::KillSide { side, downtime })
                .collect(),
        ),
        (
            "all entries paused for a second",
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
fn traffic_is_back_to_usual_after_faults_of_all_links_entries_or_sides() {
    for (name, faults) in widespread_faults() {
        let mut system = system(ENTRY_LINK_BYTES_PER_S);
        system.publish(ms(2_000), 2, LARGE_CONFIG, &ALL);
        for fault in faults {
            system.plan(JobFaultPlan {
                at: ms(5_000),
                fault,
            });
        }
        submit_steadily(&mut system, 1_500, 14_000, 100);
        // The longest fault lasts for three seconds.
        system.run_until(ms(14_000));
        let record = system.link_record();
        let opened_or_closed =
            record.opened(ms(10_000), ms(14_000)) + record.closed(ms(10_000), ms(14_000));
        assert_eq!(
            opened_or_closed, 0,
            "links are still opened or closed after: {name}"
        );
        let usual = record.bytes(ms(4_000), ms(5_000));
        let later = record.bytes(ms(12_000), ms(13_000));
        assert!(
            later <= usual + usual / 5,
            "{usual} bytes a second, {later} after: {name}"
        );
        assert_eq!(system.versions_in_force(), [2; ENTRIES], "{name}");
        assert!(
            system.violations().is_empty(),
            "{name}: {:?}",
            system.violations()
        );
    }
}
