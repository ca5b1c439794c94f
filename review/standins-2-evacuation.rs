//! The operator takes one zone back and evacuates another one in the same transaction.

use std::time::{Duration, Instant};

use crate::bed::{Bed, BedPlan, SERVICE};
use crate::clients::{Job, configuration};
use crate::{Case, Outcome};

const BOUNDS: &str = "contactMs = 4000\nackTimeoutMs = 6000\ndrainMs = 3000\ngraceS = 6\nconfigApplyMs = 3000\n\
    maxStretchMs = 6000\nevacuateMs = 5000\nmaxHoldMs = 1000\nstopTimeoutMs = 50\nresendMs = 1300";
/// Time after the acknowledgement within which an evacuation takes effect (`evacuateMs`).
const EVACUATE: Duration = Duration::from_millis(5_000);
/// Time for which each zone stays evacuated.
const EVACUATED_FOR: Duration = Duration::from_secs(8);

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
    bed.store.transact(&[("op/config", &configuration(3, &["/q/"], SERVICE))], &[]);
    record.line("operator writes op/config");
    if !(0..3).all(|entry| bed.wait_ready(entry)) {
        return Err("an entry is not ready".to_owned());
    }
    let mut traffic = Traffic { bed: &bed, case, next: 1, served: 0 };
    traffic.send_for(Duration::from_secs(5));
    let before = zones_used(&bed, None);
    if before.len() < 3 || traffic.served == 0 {
        return Err(format!("only {before:?} were used before the evacuation"));
    }
    let revision = bed.store.transact(&[("op/evacuate/zone-a", "{}")], &[]);
    record.line(&format!("operator evacuates zone-a: acknowledged with revision {revision}"));
    traffic.send_for(EVACUATED_FOR);
    let revision = match case.has_trouble {
        true => bed.store.transact(&[("op/evacuate/zone-b", "{}")], &["op/evacuate/zone-a"]),
        false => {
            bed.store.transact(&[], &["op/evacuate/zone-a"]);
            bed.store.transact(&[("op/evacuate/zone-b", "{}")], &[])
        }
    };
    let acknowledged = Instant::now();
    let how = if case.has_trouble { "in one transaction" } else { "in two transactions" };
    record.line(&format!(
        "operator takes zone-a back and evacuates zone-b {how}: acknowledged with revision {revision}"
    ));
    traffic.send_for(EVACUATED_FOR);
    let until = Instant::now();
    let taken_back = bed.store.transact(&[], &["op/evacuate/zone-b"]);
    record.line(&format!("operator takes zone-b back: acknowledged with revision {taken_back}"));
    record.line(&format!("{} jobs were answered with 200; the store is at revision {}", traffic.served, bed.store.revision()));
    let late = bed.runs().into_iter().filter(|run| {
        run.zone == "zone-b" && run.began > acknowledged + EVACUATE && run.began < until
    });
    let late: Vec<_> = late.collect();
    for run in &late {
        let after = record.seconds(run.began) - record.seconds(acknowledged);
        record.line(&format!(
            "EVAC broken: {} was started on {} in zone-b {after:.3} s after the evacuation was acknowledged",
            run.task, run.worker
        ));
    }
    let used = zones_used(&bed, Some(acknowledged + EVACUATE));
    record.line(&format!("zones used later than evacuateMs after the acknowledgement: {used:?}"));
    if used.is_empty() {
        return Err("nothing was served after the evacuation".to_owned());
    }
    Ok(late.is_empty())
}

struct Traffic<'t> {
    bed: &'t Bed,
    case: &'t Case,
    next: u64,
    served: usize,
}

impl Traffic<'_> {
    /// Submits jobs of four tasks at all entries in turn, ten a second.
    fn send_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        let mut waiting = Vec::new();
        while Instant::now() < until {
            let number = self.next;
            self.next += 1;
            let front = self.bed.front(number as usize % 3);
            let record = self.case.record.clone();
            let id = number << 32 | 0xe7ac;
            let job = Job { id, prefix: "/q/", steps: 1, tasks: 4, task_ms: 100, cpu: 1_000, deadline_ms: 1_500 };
            waiting.push(std::thread::spawn(move || job.submit(front, &record)));
            std::thread::sleep(Duration::from_millis(100));
        }
        let statuses = waiting.into_iter().filter_map(|client| client.join().ok());
        self.served += statuses.filter(|status| *status == 200).count();
    }
}

/// Returns the zones in which tasks were started, later than a moment.
fn zones_used(bed: &Bed, after: Option<Instant>) -> Vec<String> {
    let runs = bed.runs().into_iter();
    let runs = runs.filter(|run| after.is_none_or(|after| run.began > after));
    let mut zones: Vec<String> = runs.map(|run| run.zone).collect();
    zones.sort();
    zones.dedup();
    zones
}
