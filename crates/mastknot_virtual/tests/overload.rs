//! Refusals, fairness and retries under load, in virtual time.

mod common;

use std::time::Duration;

use common::{SETTLE, assert_kept, is_complete, request, system};
use mastknot_core::message::{Ran, Reply};
use mastknot_virtual::{Delays, VirtualSystem};

/// Submits requests of `team` at a steady rate from now on and returns their numbers.
fn stream(
    system: &mut VirtualSystem,
    team: &str,
    per_second: u64,
    seconds: u64,
    deadline_ms: u32,
) -> Vec<u64> {
    let from = system.now();
    let gap = 1_000_000 / per_second;
    let mut requests = Vec::new();
    for index in 0..per_second * seconds {
        let at = from + index * gap;
        let random = system.new_key();
        let wall = system.wall_at(at);
        let bits = u128::from_be_bytes(random.to_bytes());
        let key = mastknot_core::types::SubmissionKey::new(wall, bits);
        let mut submission = request(key, "pay", 100);
        submission.team = team.into();
        submission.deadline_ms = deadline_ms;
        requests.push(system.submit_at(at, (index % 2) as usize, submission));
    }
    requests
}

/// Returns the sorted response times of the completely answered requests, in microseconds.
fn responses(system: &VirtualSystem, requests: &[u64]) -> Vec<u64> {
    let of = |request: &u64| {
        let submitted = system.request(*request);
        let (at, _) = submitted.reply.as_ref()?;
        is_complete(system.reply(*request)).then(|| at - submitted.sent_at)
    };
    let mut times: Vec<u64> = requests.iter().filter_map(of).collect();
    times.sort_unstable();
    times
}

#[test]
fn at_twice_the_capacity_goodput_stays_and_refusals_are_early_and_true() {
    // 4 sides of 8 slots can run 320 tasks of 100 ms per second.
    let mut system = system(2, 4, 8, 1);
    let requests = stream(&mut system, "team", 640, 20, 1_000);
    system.run_for(Duration::from_secs(25));
    let done = responses(&system, &requests).len();
    assert!(
        done >= 320 * 20 * 95 / 100,
        "{done} of {} completed",
        requests.len()
    );
    let is_late = |request: &&u64| match system.reply(**request) {
        Some(Reply::Answered(_)) => !is_complete(system.reply(**request)),
        Some(Reply::Refused(refusal)) => refusal.ran != Ran::NotRun,
        _ => true,
    };
    let late = requests.iter().filter(is_late).count();
    assert!(late <= done / 100, "{late} accepted and not done in time");
    let no_advice = |request: &&u64| {
        let refused = system.reply(**request);
        matches!(refused, Some(Reply::Refused(r)) if r.retry_after_ms.is_none())
    };
    assert_eq!(requests.iter().filter(no_advice).count(), 0);
    assert_kept(&system);
}

#[test]
fn a_team_within_its_quota_is_not_slowed_by_another_teams_burst() {
    let run = |burst: bool| {
        let mut system = system(2, 4, 8, 2);
        system.write_resource("team", "small", r#"{"quota":12}"#);
        system.write_resource("team", "greedy", r#"{"quota":12}"#);
        system.run_for(SETTLE);
        if burst {
            stream(&mut system, "greedy", 900, 10, 5_000);
        }
        let small = stream(&mut system, "small", 60, 10, 5_000);
        system.run_for(Duration::from_secs(20));
        assert_kept(&system);
        let times = responses(&system, &small);
        assert_eq!(
            times.len(),
            small.len(),
            "none of the small team's requests is refused"
        );
        times[times.len() / 2]
    };
    let (alone, beside) = (run(false), run(true));
    assert!(
        beside * 10 <= alone * 12,
        "median {alone} us alone, {beside} us beside a burst"
    );
}

#[test]
fn refusing_targets_do_not_multiply_starts() {
    let mut system = VirtualSystem::new(Delays::KALAHARI, 3);
    for hall in ["h1", "h2"] {
        system.add_entry(hall, |settings| settings);
    }
    for index in 0..6 {
        system.add_side(["h1", "h2"][index % 2], 8);
    }
    system.write_resource("service", "pay", r#"{"path":"/pay"}"#);
    system.run_for(SETTLE);
    for side in [0, 1] {
        system.set_refusing(side, true);
    }
    let requests = stream(&mut system, "team", 200, 10, 5_000);
    system.run_for(Duration::from_secs(5));
    for side in [0, 1] {
        system.set_refusing(side, false);
    }
    system.run_for(Duration::from_secs(15));
    let done = responses(&system, &requests).len();
    assert_eq!(done, requests.len(), "four of six targets carry the load");
    let starts: u64 = (0..2)
        .filter_map(|entry| system.entry(entry))
        .map(|core| core.dispatch_counters().starts)
        .sum();
    assert!(
        starts * 10 <= 11 * done as u64,
        "{starts} starts for {done} requests"
    );
    assert_kept(&system);
}

/// Guards against a retry time for a job that even an idle system could not complete in time.
#[test]
fn a_job_that_can_never_be_done_in_time_gets_no_retry_time() {
    let mut system = system(1, 2, 4, 4);
    let key = system.new_key();
    let mut submission = common::job(key, 800, 100);
    submission.deadline_ms = 1_000;
    let request = system.submit(0, submission);
    system.run_for(Duration::from_secs(1));
    let Some(Reply::Refused(refusal)) = system.reply(request) else {
        panic!("{:?}", system.reply(request));
    };
    assert_eq!((refusal.ran, refusal.retry_after_ms), (Ran::NotRun, None));
    assert_kept(&system);
}

/// Guards against an entry that starves beside a busy peer: an entry without a credit did not ask for one when tasks
/// were so short that a slot was expected to be free soon on another side.
#[test]
fn an_entry_without_credits_is_not_starved_by_a_busy_peer() {
    let mut system = system(2, 2, 4, 5);
    system.write_resource("service", "pay", r#"{"path":"/pay","typical_ms":1}"#);
    system.run_for(SETTLE);
    // Entry 0 takes all slots first and keeps them.
    for _ in 0..10 {
        let key = common::key_held_by(&mut system, 0);
        system.submit(0, common::job(key, 1_000, 1));
    }
    system.run_for(Duration::from_millis(100));
    let mut requests = Vec::new();
    for _ in 0..3 {
        let key = common::key_held_by(&mut system, 1);
        requests.push(system.submit(1, common::job(key, 1_000, 1)));
    }
    system.run_for(Duration::from_secs(1));
    let running = |entry| system.entry(entry).unwrap().dispatcher().running();
    assert!(running(0) > 0, "entry 0 is still busy");
    assert!(
        running(1) > 0,
        "entry 1 has no slot while entry 0 has them all"
    );
    assert_kept(&system);
}
