use std::time::Duration;

use mastknot_core::config::Profile;
use mastknot_core::dispatch::JobOrder;

use super::arms::{CreditsRun, run_credits, run_pushed};
use super::report::quantile;
use super::{Arm, ArmReport, Baseline, BenchProfile, Outcome, Workload, WorkloadPlan};

/// Plan of a comparison.
#[derive(Clone, Debug)]
pub struct ComparePlan {
    /// Halls, network delays and default policy weights.
    pub profile: BenchProfile,
    /// Policy weights that replace those of the profile.
    pub policy: Option<Profile>,
    /// Order in which the submissions of a customer are started.
    pub order: JobOrder,
    /// Arms, run in turn on the same arrivals.
    pub arms: Vec<Arm>,
    /// Seeds of the arrivals.
    pub seeds: Vec<u64>,
    /// Load as a share of the capacity of all slots.
    pub load: f64,
    /// Time during which submissions arrive, in seconds.
    pub seconds: u32,
    /// Number of entries.
    pub entries: usize,
    /// Number of sides.
    pub sides: usize,
    /// Number of slots of each side.
    pub slots: u16,
    /// Share of arrivals that the first entry gets; the other entries share the rest.
    pub first_entry_share: f64,
    /// Whether callers use keys issued by the entry that they call.
    pub issued_keys: bool,
    /// Maximum number of tasks of a job.
    pub max_job: u32,
    /// Deadline of submissions, in milliseconds; zero selects the default of the workload.
    pub deadline_ms: u32,
}

impl ComparePlan {
    /// Returns a plan with 12 sides of 8 slots and two entries at a load of 0.75.
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

/// Runs every arm on the arrivals of every seed. The arms take turns: all arms run on one seed
/// before the next seed.
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
        messages_per_task: per_task(run.messages, run.starts),
        ..ArmReport::default()
    };
    (run.outcomes, report)
}

fn per_task(count: u64, tasks: u64) -> f64 {
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
    debug_assert_eq!(
        run.violations, 0,
        "the audit found violations in the benchmark"
    );
    let mut report = ArmReport {
        messages_per_task: per_task(run.messages, run.starts),
        wasted_per_task: per_task(wasted(&run), run.starts),
        refused: run.refused,
        ..ArmReport::default()
    };
    for (kind, count) in &run.by_kind {
        let is_work = matches!(format!("{kind:?}").as_str(), "Start" | "Answer");
        if !is_work && *count > 0 {
            let name = format!("{kind:?}").to_lowercase();
            report
                .other_per_task
                .insert(name, per_task(*count, run.starts));
        }
    }
    fill_responses(&mut report, plan, workload, &run.outcomes, ideal);
    report
}

/// Returns the number of wasted messages: refused starts with their refusals, stops, and answers
/// that matched no open task.
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
    let round_trips = 2 * (delays.to_callers + delays.within_hall);
    let mut ratios = ratios_to_own_ideal(workload, outcomes, round_trips);
    report.response_over_ideal_p50 = quantile(&mut ratios, 0.5);
    report.response_over_ideal_p99 = quantile(&mut ratios, 0.99);
    report.response_over_ideal_p999 = quantile(&mut ratios, 0.999);
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

fn ratios_to_own_ideal(
    workload: &Workload,
    outcomes: &[Outcome],
    round_trips: Duration,
) -> Vec<f64> {
    let pairs = workload.arrivals.iter().zip(outcomes);
    let ratio = |(arrival, outcome): (&super::Arrival, &Outcome)| {
        let longest = arrival.runs.iter().max().copied().unwrap_or(0);
        let ideal = longest + round_trips.as_micros() as u64;
        outcome
            .response
            .map(|response| response as f64 / ideal as f64)
    };
    pairs.filter_map(ratio).collect()
}

/// Returns the median of a value over the reports of one arm.
pub(crate) fn median_of(reports: &[ArmReport], value: fn(&ArmReport) -> f64) -> f64 {
    let mut values: Vec<f64> = reports.iter().map(value).collect();
    quantile(&mut values, 0.5)
}

/// Formats the medians over the seeds of each arm as a Markdown table.
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
