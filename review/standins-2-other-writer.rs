//! A heartbeat of another writer comes to a side, and its worker leaves some seconds later.

use std::time::{Duration, Instant};

use crate::bed::{Bed, BedPlan, SERVICE};
use crate::clients::{Job, configuration};
use crate::http::call;
use crate::json::Json;
use crate::{Case, Outcome};

const BOUNDS: &str = "contactMs = 3000\nackTimeoutMs = 4000\ndrainMs = 2000\ngraceS = 6\nconfigApplyMs = 2000\n\
    maxStretchMs = 5000\nmaxHoldMs = 1000\nstopTimeoutMs = 50\nresendMs = 1300";
/// Time after the acknowledgement from which nothing is started on a worker that leaves (`drainMs`).
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time for which the worker serves on after it has said that it leaves.
const SERVES_ON: Duration = Duration::from_secs(10);
/// Number of heartbeats by which the other writer is ahead of the worker.
const AHEAD: u64 = 1_000;

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
    if !(0..2).all(|entry| bed.wait_ready(entry)) {
        return Err("an entry is not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(4));
    let mut next = 1;
    let mut send_until = |until: Instant| {
        let mut waiting = Vec::new();
        while Instant::now() < until {
            let id = next << 32 | 0xd7a1;
            next += 1;
            let job = Job { id, prefix: "/q/", steps: 1, tasks: 4, task_ms: 100, cpu: 1_000, deadline_ms: 1_500 };
            let (front, record) = (bed.front(next as usize % 2), record.clone());
            waiting.push(std::thread::spawn(move || job.submit(front, &record)));
            std::thread::sleep(Duration::from_millis(50));
        }
        waiting.into_iter().filter_map(|client| client.join().ok()).filter(|status| *status == 200).count()
    };
    let worker = &bed.workers[0];
    if case.has_trouble {
        let (id, born, number) = worker.identity();
        let status = send_other_heartbeat(&bed, &id, born, number + AHEAD);
        record.line(&format!("another writer sends one heartbeat that names {id}, without clockMs and with a number as version: {status}"));
    }
    send_until(Instant::now() + Duration::from_secs(4));
    worker.drain();
    record.line("the worker of the first side begins to leave: its heartbeats say draining from now on");
    let served = send_until(Instant::now() + SERVES_ON);
    let Some(taken) = worker.drain_taken() else {
        return Err("no heartbeat that says draining was acknowledged".to_owned());
    };
    let (id, _, _) = worker.identity();
    let late: Vec<_> = worker.runs().into_iter().filter(|run| run.began > taken + DRAIN).collect();
    for run in &late {
        let after = (run.began - taken).as_secs_f64();
        record.line(&format!("DRAIN broken: {} was started on {id} {after:.3} s after its draining was acknowledged", run.task));
    }
    record.line(&format!("{served} jobs were answered with 200 meanwhile"));
    if served == 0 {
        return Err("nothing was served".to_owned());
    }
    Ok(late.is_empty())
}

/// Sends the first side a heartbeat that lacks a field and has one of another type. Returns the status of the answer.
fn send_other_heartbeat(bed: &Bed, id: &str, born: u64, number: u64) -> u16 {
    let capacity = Json::object(&[
        ("cpu", Json::number(8_000)),
        ("memMb", Json::number(65_536)),
        ("gpu", Json::number(0)),
    ]);
    let body = Json::object(&[
        ("service", Json::text(SERVICE)),
        ("address", Json::text("127.0.0.1:9")),
        ("zone", Json::text("zone-a")),
        ("version", Json::number(7)),
        ("slots", Json::number(8)),
        ("state", Json::text("ready")),
        ("coldLeftMs", Json::number(0)),
        ("capacity", capacity),
        ("labels", Json::List(vec![Json::text("a"), Json::text("r-0")])),
        ("seqNo", Json::number(number)),
        ("born", Json::number(born)),
    ]);
    let path = format!("/mastknot/instances/{id}/heartbeat");
    let reply = call(bed.control(0), "POST", &path, &[], &body.to_string(), Duration::from_secs(1));
    reply.map_or(0, |(status, _)| status)
}
