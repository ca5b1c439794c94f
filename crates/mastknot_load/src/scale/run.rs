use std::time::Duration;

use mastknot_core::job::JobAnswer;
use mastknot_virtual::{JobSystem, JobSystemSettings};

use super::{SIZES, ScaleArm, ScalePlan, ScalePoint};

/// Links are made and chosen before this.
const BEGIN: Duration = Duration::from_secs(3);
/// After the last job all are answered within this.
const END: Duration = Duration::from_secs(4);
/// A new version is passed on within this.
const VERSION_TIME: Duration = Duration::from_secs(10);
/// The kinds of jobs, in turn: tasks, and milliseconds of each.
const KINDS: [(u16, u64); 3] = [(8, 60), (4, 900), (2, 200)];
/// Bits in a byte times bytes in a megabit.
const BYTES_PER_MEGABIT: u64 = 125_000;

/// Measures all sizes, first with the usual links, then with all.
pub fn measure_scale(plan: &ScalePlan) -> Vec<ScalePoint> {
    let arms = [ScaleArm::Usual, ScaleArm::AllLinks];
    let points = arms
        .into_iter()
        .flat_map(|arm| SIZES.map(|size| (arm, size)));
    points
        .map(|(arm, (entries, sides))| measure(plan, arm, entries, sides))
        .collect()
}

fn system(plan: &ScalePlan, arm: ScaleArm, entries: usize, sides: usize) -> JobSystem {
    let mut system = JobSystem::new(JobSystemSettings {
        entries,
        sides,
        cpu_millis: 16_000,
        entry_link: Some(plan.link_mbps * BYTES_PER_MEGABIT),
        usual_links: match arm {
            ScaleArm::Usual => None,
            ScaleArm::AllLinks => Some(sides),
        },
        seed: 1,
    });
    let readers: Vec<usize> = (0..entries).collect();
    system.publish(
        Duration::from_millis(100),
        1,
        plan.version_bytes / 100,
        &readers,
    );
    system
}

fn measure(plan: &ScalePlan, arm: ScaleArm, entries: usize, sides: usize) -> ScalePoint {
    let mut system = system(plan, arm, entries, sides);
    let until = BEGIN + Duration::from_secs(plan.seconds);
    let count = (plan.jobs_per_side * (sides as u64 * plan.seconds) as f64) as usize;
    let pause = (until - BEGIN).div_f64(count as f64);
    for number in 0..count {
        let (tasks, work_ms) = KINDS[number % KINDS.len()];
        let at = BEGIN + pause.mul_f64(number as f64);
        let work = Duration::from_millis(work_ms);
        system.submit(at, number % entries, tasks, work);
    }
    system.run_until(BEGIN);
    let (entry_before, side_before) = (system.entry_steps(), system.side_steps());
    system.run_until(until);
    let entry_steps = system.entry_steps().since(&entry_before);
    let side_steps = system.side_steps().since(&side_before);
    let bytes = system.link_record().bytes(BEGIN, until) as f64;
    let messages = system.link_record().messages(BEGIN, until) as f64;
    system.run_until(until + END);
    let completed = system
        .audit()
        .count(|answer| *answer == JobAnswer::Completed);
    let seconds = plan.seconds as f64;
    let per_entry = 1.0 / (entries as f64 * seconds);
    let per_side = 1.0 / (sides as f64 * seconds);
    ScalePoint {
        arm,
        entries,
        sides,
        messages_per_entry: messages * per_entry,
        bytes_per_entry: bytes * per_entry,
        steps_per_entry: entry_steps.steps as f64 * per_entry,
        entry_core_millis: entry_steps.time.as_secs_f64() * 1_000.0 * per_entry,
        messages_per_side: messages * per_side,
        bytes_per_side: bytes * per_side,
        steps_per_side: side_steps.steps as f64 * per_side,
        side_core_millis: side_steps.time.as_secs_f64() * 1_000.0 * per_side,
        version_bytes_over_nodes: version_cost(plan, arm, entries, sides),
        completed: completed as f64 / count.max(1) as f64,
    }
}

/// The bytes that a new version adds, over its length times the nodes.
fn version_cost(plan: &ScalePlan, arm: ScaleArm, entries: usize, sides: usize) -> f64 {
    let bytes = |is_published: bool| {
        let mut system = system(plan, arm, entries, sides);
        let readers: Vec<usize> = (0..entries).collect();
        if is_published {
            system.publish(BEGIN, 2, plan.version_bytes, &readers);
        }
        system.run_until(BEGIN + VERSION_TIME);
        system.link_record().bytes(BEGIN, BEGIN + VERSION_TIME)
    };
    let added = bytes(true).saturating_sub(bytes(false));
    added as f64 / (plan.version_bytes * (entries + sides)) as f64
}
