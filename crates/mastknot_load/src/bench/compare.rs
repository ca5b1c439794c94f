use std::time::Duration;

use mastknot_core::config::Profile;
use mastknot_core::dispatch::JobOrder;

use super::arms::{CreditsRun, run_credits, run_pushed};
use super::report::quantile;
use super::{Arm, ArmReport, Baseline, BenchProfile, Outcome, Workload, WorkloadPlan};

/// What is compared.
#[derive(Clone, Debug)]
pub struct ComparePlan {
    /// The user's places and weights.
    pub profile: BenchProfile,
    /// The weights, if not the profile's own.
    pub policy: Option<Profile>,
    /// The order of a customer's submissions.
    pub order: JobOrder,
    /// The arms, run in turns on the same arrivals.
    pub arms: Vec<Arm>,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// Load as a share of the slots.
    pub load: f64,
    /// How long arrivals come, in seconds.
    pub seconds: u32,
    /// Entries.
    pub entries: usize,
    /// Sides.
    pub sides: usize,
    /// Slots of each side.
    pub slots: u16,
    /// The share of arrivals that the first entry gets.
    pub first_entry_share: f64,
    /// Whether callers use keys that the entry which they call has issued.
    pub issued_keys: bool,
    /// The largest job.
    pub max_job: u32,
    /// The deadline of submissions, in milliseconds; zero takes the usual one.
    pub deadline_ms: u32,
}

impl ComparePlan {
    /// A dozen workers of 8 slots and two entries at 0.75 load.
    pub fn new(profile: BenchProfile) -> Self {
        Self {
            profile,
            policy: None,
            order: JobOrder::default(),
            arms: vec![Arm::Credits],
            seeds: vec![1, 2, 3, 4, 5],
            load: 0.75,
            seconds: 120,
            entries: 2,
            sides: 12,
            slots: 8,
            first_entry_share: 0.5,
            issued_keys: false,
            max_job: 1_000,
            deadline_ms: 0,
        }
    }

    fn workload(&self, seed: u64) -> Workload {
        Workload::new(&WorkloadPlan {
            seed,
            slots: self.sides as u32 * u32::from(self.slots),
            load: self.load,
            seconds: self.seconds,
            entries: self.entries,
            first_entry_share: self.first_entry_share,
            teams: 5,
            max_job: self.max_job,
            deadline_ms: self.deadline_ms,
        })
    }
}

/// Runs every arm on the arrivals of every seed, in turns: A B A B.
pub fn compare(plan: &ComparePlan) -> Vec<ArmReport> {
    let mut reports = Vec::new();
    for seed in &plan.seeds {
        let workload = plan.workload(*seed);
        let ideal = pushed(plan, Baseline::Omniscient, &workload, *seed).0;
        for arm in &plan.arms {
            let mut report = match arm {
                Arm::Credits => credits(plan, &workload, &ideal),
                Arm::Pushed(baseline) => {
                    let (outcomes, mut report) = pushed(plan, *baseline, &workload, *seed);
                    fill_responses(&mut report, plan, &workload, &outcomes, &ideal);
                    report
                }
            };
            report.arm = arm.name().to_owned();
            report.seed = *seed;
            reports.push(report);
        }
    }
    reports
}

fn pushed(
    plan: &ComparePlan,
    baseline: Baseline,
    workload: &Workload,
    seed: u64,
) -> (Vec<Outcome>, ArmReport) {
    let delays = plan.profile.delays();
    let halls = plan.profile.halls();
    let run = run_pushed(
        baseline, workload, delays, halls, plan.sides, plan.slots, seed,
    );
    let report = ArmReport {
        messages_per_task: per(run.messages, run.starts),
        ..ArmReport::default()
    };
    (run.outcomes, report)
}

fn per(count: u64, tasks: u64) -> f64 {
    count as f64 / tasks.max(1) as f64
}

fn credits(plan: &ComparePlan, workload: &Workload, ideal: &[Outcome]) -> ArmReport {
    let policy = plan.policy.clone().unwrap_or(plan.profile.policy());
    let run = run_credits(
        plan.profile,
        &policy,
        plan.order,
        plan.sides,
        plan.slots,
        workload,
        plan.entries,
        plan.issued_keys,
    );
    debug_assert_eq!(run.violations, 0, "a promise was broken on the bench");
    let mut report = ArmReport {
        messages_per_task: per(run.messages, run.starts),
        wasted_per_task: per(wasted(&run), run.starts),
        refused: run.refused,
        ..ArmReport::default()
    };
    for (kind, count) in &run.by_kind {
        let is_work = matches!(format!("{kind:?}").as_str(), "Start" | "Answer");
        if !is_work && *count > 0 {
            let name = format!("{kind:?}").to_lowercase();
            report.other_per_task.insert(name, per(*count, run.starts));
        }
    }
    fill_responses(&mut report, plan, workload, &run.outcomes, ideal);
    report
}

/// Messages that brought nothing: refused starts with their refusals, and stops.
fn wasted(run: &CreditsRun) -> u64 {
    let of = |counters: &mastknot_core::dispatch::DispatchCounters| {
        let refused = counters.retried_stale_credit
            + counters.retried_draining
            + counters.retried_target_refused
            + counters.retried_other;
        2 * refused + counters.stops + counters.unmatched_dropped
    };
    run.counters.iter().map(of).sum()
}

fn fill_responses(
    report: &mut ArmReport,
    plan: &ComparePlan,
    workload: &Workload,
    outcomes: &[Outcome],
    ideal: &[Outcome],
) {
    let millis = |outcomes: &[Outcome]| -> Vec<f64> {
        let responses = outcomes.iter().filter_map(|outcome| outcome.response);
        responses.map(|micros| micros as f64 / 1e3).collect()
    };
    let (mut ours, mut best) = (millis(outcomes), millis(ideal));
    let ratio = |ours: &mut [f64], best: &mut [f64], q| quantile(ours, q) / quantile(best, q);
    report.response_over_omniscient_p50 = ratio(&mut ours, &mut best, 0.5);
    report.response_over_omniscient_p99 = ratio(&mut ours, &mut best, 0.99);
    let delays = plan.profile.delays();
    let trips = 2 * (delays.to_callers + delays.within_hall);
    let mut over = over_own_ideal(workload, outcomes, trips);
    report.response_over_ideal_p50 = quantile(&mut over, 0.5);
    report.response_over_ideal_p99 = quantile(&mut over, 0.99);
    report.response_over_ideal_p999 = quantile(&mut over, 0.999);
    report.completed = ours.len() as u64;
    report.failed = outcomes.len() as u64 - report.completed - report.refused;
    let done = workload.arrivals.iter().zip(outcomes);
    let work: u64 = done
        .filter(|(_, outcome)| outcome.response.is_some())
        .flat_map(|(arrival, _)| &arrival.runs)
        .sum();
    let slots = plan.sides as f64 * f64::from(plan.slots);
    report.goodput = work as f64 / (slots * f64::from(plan.seconds) * 1e6);
}

fn over_own_ideal(workload: &Workload, outcomes: &[Outcome], trips: Duration) -> Vec<f64> {
    let pairs = workload.arrivals.iter().zip(outcomes);
    let ratio = |(arrival, outcome): (&super::Arrival, &Outcome)| {
        let longest = arrival.runs.iter().max().copied().unwrap_or(0);
        let ideal = longest + trips.as_micros() as u64;
        outcome
            .response
            .map(|response| response as f64 / ideal as f64)
    };
    pairs.filter_map(ratio).collect()
}

/// The median of one figure over reports of one arm.
pub(crate) fn median_of(reports: &[ArmReport], value: fn(&ArmReport) -> f64) -> f64 {
    let mut values: Vec<f64> = reports.iter().map(value).collect();
    quantile(&mut values, 0.5)
}

/// The medians over the seeds of each arm, as a table.
pub fn format_table(reports: &[ArmReport]) -> String {
    let mut arms: Vec<&str> = Vec::new();
    for report in reports {
        if !arms.contains(&report.arm.as_str()) {
            arms.push(&report.arm);
        }
    }
    let mut lines = vec![
        "| policy | p50 over omniscient | p99 over omniscient | p50 over own ideal | \
p99 over own ideal | messages a task | wasted a task | goodput | refused | failed |"
            .to_owned(),
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |".to_owned(),
    ];
    for arm in arms {
        let of_arm: Vec<ArmReport> = reports.iter().filter(|r| r.arm == arm).cloned().collect();
        let median = |value| median_of(&of_arm, value);
        lines.push(format!(
            "| {arm} | {:.3} | {:.3} | {:.3} | {:.2} | {:.3} | {:.4} | {:.3} | {:.0} | {:.0} |",
            median(|r| r.response_over_omniscient_p50),
            median(|r| r.response_over_omniscient_p99),
            median(|r| r.response_over_ideal_p50),
            median(|r| r.response_over_ideal_p99),
            median(|r| r.messages_per_task),
            median(|r| r.wasted_per_task),
            median(|r| r.goodput),
            median(|r| r.refused as f64),
            median(|r| r.failed as f64),
        ));
    }
    lines.join("\n")
}
