//! Learned profile that is kept across restarts of all processes: its encoded document, and how an entry applies one
//! that it reads.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::entry::*;
use mastknot_core::job::{
    EndOfRun, EndedRun, JobId, LearnedProfile, LearnedRunTimes, LearnedSlowdown, LearnedSuspect,
    MAX_PROFILE_BYTES, ProfileError, QueuePolicy, TargetProfile, TaskKind,
};
use mastknot_core::scheduler::{
    CallerId, JobScheduler, ScarcitySettings, SchedulerEffect, SchedulerEvent, SchedulerSettings,
};
use mastknot_core::types::{Incarnation, WallTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use xxhash_rust::xxh3::xxh3_64;

const WRITTEN: u64 = 1_700_000_000_000;
const HOUR_MS: u64 = 60 * 60 * 1_000;

fn slowdown(queue: &str, class: &str, runs: u32, log_ratio: f64) -> LearnedSlowdown {
    LearnedSlowdown {
        queue: Arc::from(queue),
        class: Arc::from(class),
        runs,
        log_ratio,
    }
}

fn times(queue: &str, steps: u32) -> LearnedRunTimes {
    LearnedRunTimes {
        queue: Arc::from(queue),
        steps,
        log_estimate: -1.0,
        log_run_time: -0.5,
        estimate_variance: 0.2,
        covariance: 0.1,
    }
}

fn suspect(queue: &str) -> LearnedSuspect {
    LearnedSuspect {
        kind: TaskKind::new(queue, None),
        crashed_after_ms: 12,
        share_per_mille: 250,
        crashed_sides: vec!["side-3".into(), "side-1".into()],
    }
}

fn profile() -> LearnedProfile {
    LearnedProfile {
        written_ms: WRITTEN,
        slowdowns: vec![
            slowdown("queue", "fast", 400, -0.4),
            slowdown("queue", "slow", 90, 0.4),
        ],
        run_times: vec![times("queue", 200)],
        suspects: vec![suspect("queue")],
    }
}

/// Returns [`profile`] without suspects, so that its queue may use all targets.
fn slowdowns_only() -> LearnedProfile {
    LearnedProfile {
        suspects: Vec::new(),
        ..profile()
    }
}

fn bytes_of(profile: &LearnedProfile) -> Vec<u8> {
    profile.encode().expect("the document can be encoded")
}

fn cause(bytes: &[u8]) -> &'static str {
    let read = LearnedProfile::decode(bytes);
    read.as_ref().err().map_or("none", ProfileError::cause)
}

#[test]
fn a_document_is_read_as_it_was_written() {
    let written = profile();
    let read = LearnedProfile::decode(&bytes_of(&written)).expect("it can be read");
    assert_eq!(read, written);
}

#[test]
fn a_truncated_or_extended_document_is_rejected() {
    let bytes = bytes_of(&profile());
    for length in 0..bytes.len() {
        assert_eq!(cause(&bytes[..length]), "cut", "{length} bytes");
    }
    let longer = [&bytes[..], &[0]].concat();
    assert_eq!(cause(&longer), "cut");
}

#[test]
fn a_changed_document_is_rejected() {
    let bytes = bytes_of(&profile());
    for position in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[position] ^= 0x10;
        assert_ne!(cause(&changed), "none", "byte {position}");
    }
}

/// Encodes a valid header and checksum followed by random bytes.
#[test]
fn random_bytes_with_a_valid_checksum_decode_to_bounded_values_or_not_at_all() {
    let mut rng = StdRng::seed_from_u64(1);
    let header = bytes_of(&LearnedProfile::default());
    for _ in 0..20_000 {
        let length = rng.random_range(0..300);
        let body: Vec<u8> = (0..length).map(|_| rng.random()).collect();
        let mut bytes = header[..4].to_vec();
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&xxh3_64(&body).to_le_bytes());
        bytes.extend_from_slice(&body);
        let Ok(read) = LearnedProfile::decode(&bytes) else {
            continue;
        };
        let mut slowdowns = read.slowdowns.iter();
        assert!(slowdowns.all(|slowdown| slowdown.log_ratio.abs() <= 50.0));
        let mut suspects = read.suspects.iter();
        assert!(suspects.all(|suspect| (1..=1_000).contains(&suspect.share_per_mille)));
    }
}

#[test]
fn the_cause_of_a_rejected_document_names_its_defect() {
    let mut older = bytes_of(&profile());
    older[0] = older[0].wrapping_sub(1);
    assert_eq!(cause(&older), "other_format");
    assert_eq!(cause(br#"{"paces":[]}"#), "other_format");
    assert_eq!(cause(&vec![0; MAX_PROFILE_BYTES + 1]), "too_large");
}

#[test]
fn a_document_is_small_for_any_fleet_and_keeps_the_values_with_most_runs() {
    let long = "q".repeat(80);
    let slowdowns =
        (0..4_000).map(|number| slowdown(&format!("{long}{number}"), "class", number, 0.1));
    let queues = (0..4_000).map(|number| times(&format!("{long}{number}"), number));
    let kinds = (0..4_000).map(|number| suspect(&format!("{number}")));
    let written = LearnedProfile {
        written_ms: WRITTEN,
        slowdowns: slowdowns.collect(),
        run_times: queues.collect(),
        suspects: kinds.collect(),
    };
    let bytes = bytes_of(&written);
    assert!(bytes.len() <= MAX_PROFILE_BYTES);
    let read = LearnedProfile::decode(&bytes).expect("it can be read");
    assert!(!read.slowdowns.is_empty() && !read.run_times.is_empty() && !read.suspects.is_empty());
    assert_eq!(read.slowdowns[0].runs, 3_999);
    assert_eq!(read.run_times[0].steps, 3_999);
}

#[test]
fn values_that_are_not_numbers_are_not_written() {
    let written = LearnedProfile {
        slowdowns: vec![
            slowdown("queue", "fast", 40, f64::NAN),
            slowdown("queue", "slow", 40, 0.1),
        ],
        ..LearnedProfile::default()
    };
    let read = LearnedProfile::decode(&bytes_of(&written)).expect("it can be read");
    assert_eq!(read.slowdowns, [slowdown("queue", "slow", 40, 0.1)]);
}

#[test]
fn a_prior_counts_as_few_runs_and_fewer_with_age() {
    let runs_after = |ms: u64| {
        let aged = profile().aged(WallTime::from_millis(WRITTEN + ms));
        aged.slowdowns.first().map(|slowdown| slowdown.runs)
    };
    assert_eq!(runs_after(0), Some(32));
    assert_eq!(runs_after(23 * HOUR_MS), Some(32));
    assert_eq!(runs_after(25 * HOUR_MS), Some(16));
    assert_eq!(runs_after(49 * HOUR_MS), Some(8));
    assert_eq!(runs_after(24 * 365 * HOUR_MS), None);
    // The reader's clock is behind that of the writer.
    let ahead = profile().aged(WallTime::from_millis(WRITTEN - HOUR_MS));
    assert_eq!(ahead.slowdowns[0].runs, 32);
}

#[test]
fn old_suspects_are_dropped() {
    let after = |ms| profile().aged(WallTime::from_millis(WRITTEN + ms)).suspects;
    assert_eq!(after(9 * 60 * 1_000).len(), 1);
    assert_eq!(after(11 * 60 * 1_000), []);
}

fn entry_with(scarcity: ScarcitySettings) -> Entry {
    let mut entry = Entry::with_sides(&[]);
    entry.scheduler = JobScheduler::new(SchedulerSettings {
        scarcity,
        claims_jobs: false,
        ..SchedulerSettings::new("entry-1".into(), Incarnation(1))
    });
    for side in 0..8 {
        entry.join(0, side, 16_000);
    }
    entry
}

fn entry() -> Entry {
    entry_with(ScarcitySettings::default())
}

fn read(entry: &mut Entry, ms: u64, profile: LearnedProfile, age_ms: u64) -> Vec<SchedulerEffect> {
    let event = SchedulerEvent::Learned {
        profile: Arc::new(profile),
        wall: WallTime::from_millis(WRITTEN + age_ms),
    };
    entry.scheduler.step(at(ms), event)
}

fn policy(is_ranked: bool) -> Arc<QueuePolicy> {
    Arc::new(QueuePolicy {
        name: Arc::from("queue"),
        service: Arc::from("service"),
        priority: 0,
        max_attempts: 2,
        stretch: 1.6,
        allowance: Duration::from_millis(60),
        is_ranked,
        version: 1,
    })
}

fn submit(entry: &mut Entry, ms: u64, number: u64, is_ranked: bool) -> Vec<SchedulerEffect> {
    let event = SchedulerEvent::Submit {
        caller: CallerId(number),
        job: job(number, 1, 400),
        policy: policy(is_ranked),
        time_left: Duration::from_millis(2_000),
        wall: WallTime::from_millis(WRITTEN),
    };
    entry.scheduler.step(at(ms), event)
}

/// Runs a job of a ranked queue that takes this time.
fn run(entry: &mut Entry, ms: u64, number: u64, ran_ms: u32) {
    let effects = submit(entry, ms, number, true);
    let (side, run) = starts(&effects)[0];
    let end = EndedRun {
        run,
        end: EndOfRun::Done,
        ran_ms,
    };
    entry.status(ms + 1, side, 16_000, u64::MAX, None, vec![end]);
}

/// Sets the class of a side, which is the first label of its target.
fn name_class(entry: &mut Entry, side: u64, class: &str) {
    let target = TargetProfile {
        labels: vec![Arc::from(class)],
        ..target_profile(side)
    };
    entry.status(1, side, 16_000, 0, Some(target), Vec::new());
}

/// Returns an entry of whose targets half are slow; the document has the slowdown of each class.
fn unequal_entry(scarcity: ScarcitySettings) -> Entry {
    let mut entry = entry_with(scarcity);
    for side in 0..8 {
        let class = if side % 2 == 0 { "fast" } else { "slow" };
        name_class(&mut entry, side, class);
    }
    entry
}

/// Returns how many of four jobs with a near objective start on fast targets.
fn on_fast(entry: &mut Entry, is_ranked: bool) -> usize {
    let jobs = 1..5;
    let sides = jobs.filter_map(|number| {
        let effects = submit(entry, 10, number, is_ranked);
        starts(&effects).first().map(|(side, _)| *side)
    });
    sides.filter(|side| side % 2 == 0).count()
}

#[test]
fn slowdowns_of_earlier_processes_are_used_for_the_first_job() {
    let mut entry = unequal_entry(ScarcitySettings::default());
    read(&mut entry, 5, slowdowns_only(), 1_000);
    assert_eq!(on_fast(&mut entry, true), 4);
}

#[test]
fn without_ranked_queues_slowdowns_are_not_used_but_passed_on() {
    let mut entry_with_profile = unequal_entry(ScarcitySettings::default());
    let mut entry_without_profile = entry_with_profile.clone();
    read(&mut entry_with_profile, 5, slowdowns_only(), 1_000);
    assert_eq!(
        on_fast(&mut entry_with_profile, false),
        on_fast(&mut entry_without_profile, false)
    );
    assert_eq!(entry_with_profile.scheduler.learned().slowdowns.len(), 2);
    let wall = WallTime::from_millis(WRITTEN + 2 * HOUR_MS);
    let offer = entry_with_profile
        .scheduler
        .profile_offer(Some(&slowdowns_only()), wall);
    assert_eq!(offer, None, "none of the values are from own runs");
}

#[test]
fn with_the_profile_switched_off_nothing_is_applied_or_offered() {
    let off = ScarcitySettings {
        profile: false,
        ..ScarcitySettings::default()
    };
    let mut entry_with_profile = unequal_entry(off);
    let mut entry_without_profile = entry_with_profile.clone();
    assert_eq!(
        read(&mut entry_with_profile, 5, slowdowns_only(), 1_000),
        []
    );
    assert_eq!(
        on_fast(&mut entry_with_profile, true),
        on_fast(&mut entry_without_profile, true)
    );
    assert_eq!(entry_with_profile.scheduler.counters().profiles_read, 0);
    let wall = WallTime::from_millis(WRITTEN);
    assert_eq!(entry_with_profile.scheduler.profile_offer(None, wall), None);
}

#[test]
fn values_from_more_own_runs_are_not_replaced() {
    let mut entry = entry();
    for number in 0..40 {
        run(&mut entry, 10 + 10 * number, 1 + number, 400);
    }
    let own_run_times = entry.scheduler.learned().run_times;
    assert_eq!(own_run_times[0].steps, 40);
    read(&mut entry, 1_000, slowdowns_only(), 1_000);
    assert_eq!(entry.scheduler.learned().run_times, own_run_times);
}

#[test]
fn new_runs_soon_outweigh_the_read_values() {
    let mut entry = entry();
    read(&mut entry, 5, slowdowns_only(), 1_000);
    let ratio = |entry: &Entry| {
        let times = &entry.scheduler.learned().run_times[0];
        times.log_run_time - times.log_estimate
    };
    run(&mut entry, 10, 1, 400);
    let first = ratio(&entry);
    for number in 1..65 {
        run(&mut entry, 10 + 10 * number, 1 + number, 400);
    }
    assert!(first > 0.45, "the prior counts at first: {first}");
    assert!(
        ratio(&entry) < first / 2.0,
        "runs took as long as estimated: {}",
        ratio(&entry)
    );
}

fn known_kinds(entry: &Entry) -> u64 {
    entry.scheduler.counters().kinds_known
}

#[test]
fn a_suspect_is_contained_at_once_whether_queues_are_ranked_or_not() {
    for is_ranked in [false, true] {
        let mut entry = entry();
        read(&mut entry, 5, profile(), 1_000);
        assert_eq!(known_kinds(&entry), 1);
        let mut sides = Vec::new();
        for number in 1..9 {
            let effects = submit(&mut entry, 10 + number, number, is_ranked);
            sides.extend(starts(&effects).iter().map(|(side, _)| *side));
        }
        sides.sort_unstable();
        sides.dedup();
        assert_eq!(sides.len(), 2, "a quarter of the targets: {sides:?}");
    }
}

#[test]
fn a_suspect_that_crashes_nothing_is_released() {
    let mut entry = entry();
    read(&mut entry, 5, profile(), 1_000);
    entry.scheduler.step(at(10_100), SchedulerEvent::Tick);
    assert_eq!(entry.scheduler.counters().kinds_released, 1);
    assert_eq!(entry.scheduler.learned().suspects, []);
    // A document that is read again later, from before the release, does not contain the kind again.
    read(&mut entry, 11_000, profile(), 1_000);
    assert_eq!(known_kinds(&entry), 1);
}

#[test]
fn an_old_or_empty_document_contains_nothing() {
    let mut entry = entry();
    read(&mut entry, 5, profile(), HOUR_MS);
    read(&mut entry, 6, LearnedProfile::default(), 1_000);
    assert_eq!(known_kinds(&entry), 0);
    let effects = submit(&mut entry, 10, 1, false);
    assert_eq!(starts(&effects).len(), 1);
    assert_eq!(entry.scheduler.pending("queue"), 0);
    assert!(entry.scheduler.open_jobs() == 1 && JobId(1) == starts(&effects)[0].1.task.job);
}
