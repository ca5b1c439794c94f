//! Open-loop workload: submissions arrive independent of the answers to earlier ones.

use mastknot_core::message::{Payload, Submission, SubmissionKind};
use mastknot_core::types::{SubmissionKey, WallTime};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};

/// Minimum and maximum run time of a task, in microseconds.
const TASK_MICROS: (f64, f64) = (50_000.0, 500_000.0);
/// Median run time of tasks, in microseconds.
const MEDIAN_MICROS: f64 = 110_000.0;
/// Standard deviation of the logarithm of run times.
const SPREAD: f64 = 0.6;
/// Job sizes in tasks with their relative frequencies: most jobs are small, some are very large.
const JOB_SIZES: [(u32, u32); 8] = [
    (1, 400),
    (2, 200),
    (4, 150),
    (8, 120),
    (16, 80),
    (64, 35),
    (256, 12),
    (1_000, 3),
];
/// Number of customers in a team.
const CUSTOMERS: u32 = 40;
/// Exponent of the Zipf distribution of submissions over customers.
const CUSTOMER_SKEW: f64 = 1.1;
/// Default deadline of submissions, in milliseconds.
const DEADLINE_MS: u32 = 30_000;

/// Parameters of a workload.
#[derive(Clone, Copy, Debug)]
pub struct WorkloadPlan {
    /// Seed of the random draws.
    pub seed: u64,
    /// Number of slots of all targets together.
    pub slots: u32,
    /// Load as a share of the capacity of all slots.
    pub load: f64,
    /// Time during which submissions arrive, in seconds.
    pub seconds: u32,
    /// Number of entries.
    pub entries: usize,
    /// Share of arrivals that the first entry gets; the other entries share the rest.
    pub first_entry_share: f64,
    /// Number of teams.
    pub teams: u32,
    /// Maximum number of tasks of a job.
    pub max_job: u32,
    /// Deadline of submissions, in milliseconds; zero selects `DEADLINE_MS`.
    pub deadline_ms: u32,
}

/// Arrival of one submission.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time since the start of the workload, in microseconds.
    pub at: u64,
    /// Index of the entry that gets the submission.
    pub entry: usize,
    /// Submission whose key is replaced when it is sent.
    pub submission: Submission,
    /// Run time of each task, in microseconds.
    pub runs: Vec<u64>,
}

/// Arrivals in order of time.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Arrivals in order of time, from the start of the workload.
    pub arrivals: Vec<Arrival>,
}

impl Workload {
    /// Generates the arrivals of a plan. Equal plans give equal arrivals.
    pub fn new(plan: &WorkloadPlan) -> Self {
        let mut rng = StdRng::seed_from_u64(plan.seed);
        let sizes: Vec<(u32, u32)> = JOB_SIZES
            .into_iter()
            .filter(|(size, _)| *size <= plan.max_job)
            .collect();
        let run = LogNormal::new(MEDIAN_MICROS.ln(), SPREAD).expect("the spread is positive");
        let mean_run = mean_run_micros(&run);
        let weight: u32 = sizes.iter().map(|(_, weight)| weight).sum();
        let tasks: u32 = sizes.iter().map(|(size, weight)| size * weight).sum();
        let mean_size = f64::from(tasks) / f64::from(weight);
        let per_micro = f64::from(plan.slots) * plan.load / (mean_run * mean_size);
        let gap = Exp::new(per_micro).expect("the rate is positive");
        let customer =
            Zipf::new(f64::from(CUSTOMERS), CUSTOMER_SKEW).expect("the exponent is valid");
        let end = f64::from(plan.seconds) * 1e6;
        let mut at = 0.0;
        let mut arrivals = Vec::new();
        loop {
            at += gap.sample(&mut rng);
            if at >= end {
                return Self { arrivals };
            }
            let size = sizes
                .choose_weighted(&mut rng, |(_, weight)| *weight)
                .expect("at least one job size is allowed")
                .0;
            let runs: Vec<u64> = (0..size).map(|_| sample_run(&run, &mut rng)).collect();
            let entry = pick_entry(plan, &mut rng);
            let team = rng.random_range(0..plan.teams);
            let customer = customer.sample(&mut rng) as u32;
            let key = SubmissionKey::new(WallTime::from_millis(0), rng.random());
            let submission = submission(plan, key, &runs, team, customer);
            arrivals.push(Arrival {
                at: at as u64,
                entry,
                submission,
                runs,
            });
        }
    }

    /// Returns the number of all tasks.
    pub fn tasks(&self) -> u64 {
        self.arrivals
            .iter()
            .map(|arrival| arrival.runs.len() as u64)
            .sum()
    }

    /// Returns the total run time of all tasks, in microseconds.
    pub fn work_micros(&self) -> u64 {
        self.arrivals.iter().flat_map(|arrival| &arrival.runs).sum()
    }
}

/// Returns the mean of the clamped distribution of run times, estimated with a fixed seed.
fn mean_run_micros(run: &LogNormal<f64>) -> f64 {
    const DRAWS: u32 = 20_000;
    let mut rng = StdRng::seed_from_u64(0);
    let sum: u64 = (0..DRAWS).map(|_| sample_run(run, &mut rng)).sum();
    sum as f64 / f64::from(DRAWS)
}

fn sample_run(run: &LogNormal<f64>, rng: &mut StdRng) -> u64 {
    run.sample(rng).clamp(TASK_MICROS.0, TASK_MICROS.1) as u64
}

fn pick_entry(plan: &WorkloadPlan, rng: &mut StdRng) -> usize {
    if plan.entries == 1 || rng.random_bool(plan.first_entry_share) {
        return 0;
    }
    rng.random_range(1..plan.entries)
}

fn submission(
    plan: &WorkloadPlan,
    key: SubmissionKey,
    runs: &[u64],
    team: u32,
    customer: u32,
) -> Submission {
    let task = |(index, run): (usize, &u64)| -> Payload {
        format!("{run} {key}/{index}").into_bytes().into()
    };
    let deadline_ms = if plan.deadline_ms == 0 {
        DEADLINE_MS
    } else {
        plan.deadline_ms
    };
    Submission {
        key,
        kind: SubmissionKind::Job,
        team: format!("team-{team}").into(),
        customer: format!("customer-{customer}").into(),
        service: "run".into(),
        deadline_ms,
        tasks: runs.iter().enumerate().map(task).collect(),
    }
}
