//! The platform moves its store to another address, and tells it by the settings files and SIGHUP.

use std::time::{Duration, Instant};

use crate::bed::{Bed, BedPlan, SERVICE};
use crate::clients::{Job, configuration};
use crate::{Case, Outcome};

const BOUNDS: &str = "contactMs = 3000\nackTimeoutMs = 4000\ndrainMs = 2000\ngraceS = 6\nconfigApplyMs = 2000\n\
    maxStretchMs = 5000\nmaxHoldMs = 1000\nstopTimeoutMs = 50\nresendMs = 1300";
/// Time for which the store answers at both addresses.
const BOTH: Duration = Duration::from_secs(5);
/// Time after the acknowledgement within which a configuration is in force, with the longest stretch (`configApplyMs`
/// and `maxStretchMs`).
const APPLIED: Duration = Duration::from_millis(2_000 + 5_000);

pub fn run(case: &Case) -> Outcome {
    let record = &case.record;
    let plan = BedPlan {
        entries: &["zone-a", "zone-b"],
        sides: &["zone-a", "zone-b", "zone-a", "zone-b"],
        zones: &["zone-a", "zone-b"],
        bounds: BOUNDS,
        cpu: 8_000,
    };
    let bed = Bed::start(&plan, &case.folder, record).map_err(|error| error.to_string())?;
    bed.store.transact(&[("op/config", &configuration(3, &["/q/"], SERVICE))], &[]);
    record.line("operator writes op/config version 3 with the queue /q/");
    if !(0..2).all(|entry| bed.wait_ready(entry)) {
        return Err("an entry is not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(4));
    let mut next = 1;
    let mut ask = |entry: usize, prefix: &'static str| {
        let id = next << 32 | 0x57;
        next += 1;
        let job = Job { id, prefix, steps: 1, tasks: 2, task_ms: 100, cpu: 1_000, deadline_ms: 1_500 };
        job.submit(bed.front(entry), record)
    };
    if (0..2).any(|entry| ask(entry, "/q/") != 200) {
        return Err("a job was not served before the change".to_owned());
    }
    if case.has_trouble {
        let address = bed.move_store().map_err(|error| error.to_string())?;
        record.line(&format!("platform writes the store's new address {address} into all settings files, sends SIGHUP"));
        std::thread::sleep(BOTH);
        bed.close_first_store_address();
        record.line("platform closes the store's first address");
    }
    std::thread::sleep(Duration::from_secs(5));
    bed.store.transact(&[("op/config", &configuration(7, &["/q/", "/s/"], SERVICE))], &[]);
    let acknowledged = Instant::now();
    record.line("operator writes op/config version 7 with the queue /s/ beside /q/: acknowledged");
    std::thread::sleep(APPLIED);
    let mut is_broken = false;
    while acknowledged.elapsed() < APPLIED + Duration::from_secs(10) {
        for entry in 0..2 {
            let status = ask(entry, "/s/");
            if status == 404 {
                is_broken = true;
                let after = acknowledged.elapsed().as_secs_f64();
                record.line(&format!("CONFIG broken: entry {entry} refuses with 404 {after:.3} s after version 7"));
            }
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    Ok(!is_broken)
}
