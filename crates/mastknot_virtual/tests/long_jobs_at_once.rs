//! Guards against refusals of narrow jobs when long jobs arrive at once, as after a restart of the entries.
//!
//! Narrow jobs were refused in the following second although there was capacity for nearly all of them. Each long job
//! started with the little capacity that was free and then, as a job that has begun, received all further capacity
//! before the narrow jobs, which can wait for only a fraction of a long job's slack.

use std::time::Duration;

use mastknot_core::job::JobId;
use mastknot_virtual::{JobSystem, JobSystemSettings};

const ENTRIES: usize = 4;
const SIDES: usize = 8;
/// Processor time of a target, in thousandths of a processor: enough for ten tasks of the virtual system.
const TARGET_CPU: u32 = 16_000;
/// Time by which the links are established, in milliseconds.
const SETTLED_MS: u64 = 1_000;
/// Number of long jobs that are submitted at once.
const AT_ONCE: usize = 8;
const END_MS: u64 = 7_000;
/// Share of completed jobs from which a window counts as served.
const WELL_SERVED: f64 = 0.95;
/// Length of a window, in milliseconds.
const WINDOW_MS: u64 = 2_000;

/// Kind of job: its queue, number of tasks, work of each, and time between two jobs.
#[derive(Clone, Copy, Debug)]
struct Kind {
    queue: &'static str,
    tasks: u16,
    work_ms: u64,
    every_ms: u64,
}

/// Narrow jobs, which have a slack of 180 ms.
const NARROW: Kind = Kind {
    queue: "narrow",
    tasks: 2,
    work_ms: 200,
    every_ms: 10,
};

/// Long jobs, which have a slack of 600 ms.
const LONG: Kind = Kind {
    queue: "long",
    tasks: 4,
    work_ms: 900,
    every_ms: 160,
};

struct Simulation {
    system: JobSystem,
    /// Jobs with the time of their submission, in milliseconds.
    jobs: Vec<(u64, JobId)>,
}

impl Simulation {
    fn new() -> Self {
        let system = JobSystem::new(JobSystemSettings {
            entries: ENTRIES,
            sides: SIDES,
            cpu_millis: TARGET_CPU,
            entry_link: None,
            active_links: None,
            seed: 1,
        });
        let jobs = Vec::new();
        Self { system, jobs }
    }

    /// Submits jobs at the given times, in milliseconds, to the entries in turn.
    fn submit(&mut self, kind: Kind, times: impl Iterator<Item = u64>) {
        for (number, ms) in times.enumerate() {
            let at = Duration::from_millis(ms);
            let work = Duration::from_millis(kind.work_ms);
            let entry = number % ENTRIES;
            let job = self
                .system
                .submit_to(kind.queue, at, entry, kind.tasks, work);
            self.jobs.push((ms, job));
        }
    }

    /// Returns the share of completed jobs among those of a window.
    fn share(&self, from_ms: u64) -> f64 {
        let window = from_ms..from_ms + WINDOW_MS;
        let jobs = self.jobs.iter().filter(|(ms, _)| window.contains(ms));
        let jobs: Vec<JobId> = jobs.map(|(_, job)| *job).collect();
        self.system.audit().completed(&jobs) as f64 / jobs.len() as f64
    }
}

/// Guards against long jobs that start in parts and so take precedence over narrow ones that can wait far less.
#[test]
fn narrow_jobs_are_served_beside_long_ones_that_come_at_once() {
    for at_once in (4_050..4_350).step_by(50) {
        let mut simulation = Simulation::new();
        for kind in [LONG, NARROW] {
            simulation.submit(kind, (SETTLED_MS..END_MS).step_by(kind.every_ms as usize));
        }
        simulation.submit(LONG, std::iter::repeat_n(at_once, AT_ONCE));
        simulation
            .system
            .run_until(Duration::from_millis(END_MS + 5_000));
        assert_eq!(
            simulation.system.violations(),
            [],
            "at once at {at_once} ms"
        );
        let before = simulation.share(at_once - WINDOW_MS);
        let after = simulation.share(at_once);
        assert!(
            before >= WELL_SERVED && after >= WELL_SERVED,
            "at once at {at_once} ms: {before:.3} before, {after:.3} after"
        );
    }
}
