//! Long jobs that come at once, as after a restart of the entries, beside the usual ones.
//!
//! What callers saw: narrow jobs were refused in the second after, although there was room for nearly all. What happened:
//! each long job began with the little room that was there and then, as one that has begun, got what came free before the
//! narrow ones, which can wait for a fraction of its slack only.

use std::time::Duration;

use mastknot_core::job::JobId;
use mastknot_virtual::{JobSystem, JobSystemSettings};

const ENTRIES: usize = 4;
const SIDES: usize = 8;
/// Ten tasks of a job of the virtual system fill a target.
const TARGET_CPU: u32 = 16_000;
/// Links stand by then.
const SETTLED_MS: u64 = 1_000;
const AT_ONCE: usize = 8;
const END_MS: u64 = 7_000;
/// The share of its jobs with which a window counts as served.
const WELL_SERVED: f64 = 0.95;
const WINDOW_MS: u64 = 2_000;

/// A kind of job: its queue, how many tasks, how long each takes, and how often one comes.
#[derive(Clone, Copy, Debug)]
struct Kind {
    queue: &'static str,
    tasks: u16,
    work_ms: u64,
    every_ms: u64,
}

/// Its slack is 180 ms.
const NARROW: Kind = Kind {
    queue: "narrow",
    tasks: 2,
    work_ms: 200,
    every_ms: 10,
};

/// Its slack is 600 ms.
const LONG: Kind = Kind {
    queue: "long",
    tasks: 4,
    work_ms: 900,
    every_ms: 160,
};

struct Play {
    system: JobSystem,
    /// When each job is handed in.
    jobs: Vec<(u64, JobId)>,
}

impl Play {
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

    /// Hands in jobs at these moments, to the entries in turn.
    fn submit(&mut self, kind: Kind, moments: impl Iterator<Item = u64>) {
        for (number, ms) in moments.enumerate() {
            let at = Duration::from_millis(ms);
            let work = Duration::from_millis(kind.work_ms);
            let entry = number % ENTRIES;
            let job = self
                .system
                .submit_to(kind.queue, at, entry, kind.tasks, work);
            self.jobs.push((ms, job));
        }
    }

    /// The share of the jobs of a window that are completed.
    fn share(&self, from_ms: u64) -> f64 {
        let window = from_ms..from_ms + WINDOW_MS;
        let jobs = self.jobs.iter().filter(|(ms, _)| window.contains(ms));
        let jobs: Vec<JobId> = jobs.map(|(_, job)| *job).collect();
        self.system.audit().completed(&jobs) as f64 / jobs.len() as f64
    }
}

/// Guards against long jobs that begin in pieces and so go before narrow ones that can wait far less.
#[test]
fn narrow_jobs_are_served_beside_long_ones_that_come_at_once() {
    for at_once in (4_050..4_350).step_by(50) {
        let mut play = Play::new();
        for kind in [LONG, NARROW] {
            play.submit(kind, (SETTLED_MS..END_MS).step_by(kind.every_ms as usize));
        }
        play.submit(LONG, std::iter::repeat_n(at_once, AT_ONCE));
        play.system.run_until(Duration::from_millis(END_MS + 5_000));
        assert_eq!(play.system.violations(), [], "at once at {at_once} ms");
        let before = play.share(at_once - WINDOW_MS);
        let after = play.share(at_once);
        assert!(
            before >= WELL_SERVED && after >= WELL_SERVED,
            "at once at {at_once} ms: {before:.3} before, {after:.3} after"
        );
    }
}
