//! Tasks that fail or stand still on every target, many of them at once.
//!
//! Targets that fail or stall several runs in a row are taken to be at fault, and such an end counts for nothing against its
//! task. When many tasks are bad, targets look bad, and the bad tasks were started until their callers' time was up.

use std::time::Duration;

use mastknot_core::job::{JobAnswer, JobId, TaskRef};
use mastknot_virtual::{JobFault, JobFaultPlan, JobSystem, JobSystemSettings, TargetBehaviour};

const ENTRIES: usize = 4;
const SIDES: usize = 11;
const JOBS: u64 = 300;
/// The last caller has its answer by then.
const END: Duration = Duration::from_secs(17);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Played {
    system: JobSystem,
    usual: Vec<JobId>,
    bad: Vec<JobId>,
}

fn system(seed: u64) -> JobSystem {
    JobSystem::new(JobSystemSettings {
        entries: ENTRIES,
        sides: SIDES,
        cpu_millis: 16_000,
        entry_link: None,
        active_links: None,
        seed,
    })
}

/// The tasks and the work of the usual jobs, in turn.
fn kind(number: u64) -> (u16, Duration) {
    match number % 3 {
        0 => (8, millis(60)),
        1 => (2, millis(200)),
        _ => (3, millis(900)),
    }
}

/// Half of what the targets bear for six seconds; one job in `every` has a task of this mood.
fn play(seed: u64, every: u64, mood: TargetBehaviour) -> Played {
    let mut system = system(seed);
    let mut usual = Vec::new();
    let mut bad = Vec::new();
    for number in 0..JOBS {
        let (tasks, work) = kind(number);
        let at = millis(1_000 + number * 20);
        let entry = number as usize % ENTRIES;
        if number % every == 0 {
            bad.push(system.submit_with_behaviour(at, entry, tasks, work, mood));
        } else {
            usual.push(system.submit(at, entry, tasks, work));
        }
    }
    system.run_until(END);
    assert_eq!(system.violations(), [], "seed {seed}");
    Played { system, usual, bad }
}

impl Played {
    /// The most starts of one bad task.
    fn most_starts(&self) -> u32 {
        let first = |job: &JobId| TaskRef {
            job: *job,
            step: 0,
            index: 0,
        };
        let audit = self.system.audit();
        let starts = self.bad.iter().map(|job| audit.starts_of(first(job)));
        starts.max().unwrap_or_default()
    }
}

fn failed(system: &JobSystem) -> usize {
    let is_failed = |answer: &JobAnswer| matches!(answer, JobAnswer::Failed { .. });
    system.audit().count(is_failed)
}

/// Every bad task is given up after so many starts, and no other job pays for it.
fn assert_given_up(every: u64, mood: TargetBehaviour, most_starts: u32) {
    for seed in 0..3 {
        let played = play(seed, every, mood);
        let what = format!("seed {seed}, one job in {every}");
        let starts = played.most_starts();
        assert!(starts <= most_starts, "{what}: {starts}");
        assert_eq!(failed(&played.system), played.bad.len(), "{what}");
        let completed = played.system.audit().completed(&played.usual);
        assert_eq!(completed, played.usual.len(), "{what}");
    }
}

/// Before such ends counted, a task was started up to 98 times, and 135 to 139 of 150 others were completed; now 6 and all.
#[test]
fn tasks_that_fail_everywhere_are_given_up_though_targets_look_bad() {
    for every in [20, 5, 2] {
        assert_given_up(every, TargetBehaviour::FailsAll, 6);
    }
}

/// Before such ends counted, a task was started 18 times in its callers' three tries and never given up; now 4 times.
#[test]
fn tasks_that_stand_still_everywhere_are_given_up() {
    for every in [20, 5] {
        assert_given_up(every, TargetBehaviour::Stalls, 4);
    }
}

#[test]
fn no_job_fails_because_targets_are_bad() {
    let moods = [TargetBehaviour::FailsAll, TargetBehaviour::Stalls];
    for (seed, mood) in (0..4).flat_map(|seed| moods.map(|mood| (seed, mood))) {
        for bad_targets in [2, 5] {
            let mut system = system(seed);
            for number in 0..JOBS {
                let (tasks, work) = kind(number);
                let at = millis(1_000 + number * 20);
                system.submit(at, number as usize % ENTRIES, tasks, work);
            }
            for side in 0..bad_targets {
                let fault = JobFault::Misbehave {
                    side,
                    behaviour: mood,
                    time: millis(4_000),
                };
                let at = millis(2_000);
                system.plan(JobFaultPlan { at, fault });
            }
            system.run_until(END);
            let what = format!("seed {seed}, {mood:?} at {bad_targets}");
            assert_eq!(system.violations(), [], "{what}");
            assert_eq!(failed(&system), 0, "{what}");
        }
    }
}
