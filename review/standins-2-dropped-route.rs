//! A client cancels its job after the configuration has dropped the job's queue.

use std::time::{Duration, Instant};

use crate::bed::{Bed, BedPlan, SERVICE};
use crate::clients::{Job, configuration};
use crate::{Case, Outcome};

const BOUNDS: &str = "contactMs = 3000\nackTimeoutMs = 4000\ndrainMs = 2000\ngraceS = 6\nconfigApplyMs = 2000\n\
    maxStretchMs = 5000\nmaxHoldMs = 1000\nstopTimeoutMs = 50\ncancel_ms = 3000\nresendMs = 1300";
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_millis(4_000);
const CANCELLED_WITHIN: Duration = Duration::from_millis(3_000);
const STOPPED_WITHIN: Duration = Duration::from_millis(50);
const CONFIG_APPLIED: Duration = Duration::from_millis(2_000);
/// Pause before a client repeats a cancel that was not acknowledged.
const CANCEL_PAUSE: Duration = Duration::from_millis(500);

pub fn run(case: &Case) -> Outcome {
    let record = &case.record;
    let plan = BedPlan {
        entries: &["zone-a", "zone-b", "zone-c"],
        sides: &["zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"],
        zones: &["zone-a", "zone-b", "zone-c"],
        bounds: BOUNDS,
        cpu: 8_000,
    };
    let bed = Bed::start(&plan, &case.folder, record).map_err(|error| error.to_string())?;
    bed.store.transact(&[("op/config", &configuration(3, &["/q/", "/r/"], SERVICE))], &[]);
    record.line("operator writes op/config version 3 with the queues /q/ and /r/");
    if !(0..3).all(|entry| bed.wait_ready(entry)) {
        return Err("an entry is not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(4));
    let job = Job { id: 0x5c0e_7a21_d94b_36f8, prefix: "/q/", steps: 6, tasks: 3, task_ms: 3_000, cpu: 1_000, deadline_ms: 40_000 };
    let (submitted, front, submitting) = (job.clone(), bed.front(0), record.clone());
    let client = std::thread::spawn(move || submitted.submit(front, &submitting));
    std::thread::sleep(Duration::from_secs(1));
    if bed.runs().is_empty() {
        return Err("no task was started".to_owned());
    }
    if case.has_trouble {
        bed.store.transact(&[("op/config", &configuration(7, &["/r/"], SERVICE))], &[]);
        record.line("operator writes op/config version 7 without the queue /q/");
    }
    std::thread::sleep(CONFIG_APPLIED + Duration::from_secs(1));
    // The client cancels its job, at each entry in turn until it is acknowledged.
    let asked = Instant::now();
    let mut acknowledged = None;
    let mut entry = 0;
    while acknowledged.is_none() && asked.elapsed() < ACKNOWLEDGED_WITHIN {
        let status = job.cancel(bed.front(entry % 3), record);
        acknowledged = (status / 100 == 2 || status == 410).then(Instant::now);
        entry += 1;
        std::thread::sleep(CANCEL_PAUSE);
    }
    let from = acknowledged.unwrap_or(asked + ACKNOWLEDGED_WITHIN);
    let what = if acknowledged.is_some() { "was acknowledged" } else { "has waited ackTimeoutMs" };
    record.line(&format!("the cancel {what} at {:.3} s", record.seconds(from)));
    let limit = from + CANCELLED_WITHIN;
    std::thread::sleep((limit + Duration::from_secs(8)).saturating_duration_since(Instant::now()));
    let runs = bed.runs();
    let mut is_broken = false;
    for run in runs.iter().filter(|run| run.began > limit) {
        is_broken = true;
        let after = (run.began - from).as_secs_f64();
        record.line(&format!("UNASKED broken: {} was started on {} {after:.3} s after that", run.task, run.worker));
    }
    let goes_on = |ended: Option<Instant>| ended.is_none_or(|ended| ended > limit + STOPPED_WITHIN);
    for run in runs.iter().filter(|run| run.began <= limit && goes_on(run.ended)) {
        is_broken = true;
        record.line(&format!("UNASKED broken: {} ran on on {} later than cancel_ms and stopTimeoutMs after that", run.task, run.worker));
    }
    drop(bed);
    let _ = client.join();
    Ok(!is_broken)
}
