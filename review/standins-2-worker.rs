//! A sound worker, as PROTOCOL.md tells it: it starts, stops and holds runs, guards its capacity and sends heartbeats.
//!
//! A task runs for as many milliseconds as its job's `spec` says.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Request, answer, call, serve};
use crate::json::Json;
use crate::record::Record;

/// Longest time for which a hold lasts (`maxHoldMs`).
const MAX_HOLD_MS: u64 = 1_000;
/// Time that stopping a run takes; `stopTimeoutMs` allows 50 ms.
const STOP_TIME: Duration = Duration::from_millis(20);
/// Time between two heartbeats (`heartbeatMs`).
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// What a worker says of itself.
#[derive(Clone, Debug)]
pub struct WorkerPlan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub address: SocketAddr,
    /// Address at which the side on the worker's machine takes heartbeats.
    pub control: SocketAddr,
    pub cpu: u64,
    pub mem_mb: u64,
}

/// A run of a task, for the check at the end.
#[allow(dead_code)]
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub zone: String,
    pub task: String,
    pub attempt: u64,
    pub began: Instant,
    pub ended: Option<Instant>,
    pub how: &'static str,
}

struct Running {
    ends: Instant,
    takes: Duration,
    how: &'static str,
    record: usize,
}

struct State {
    started: Instant,
    born: u64,
    token: u64,
    hold_until_ms: u64,
    running: BTreeMap<(String, u64), Running>,
    /// Highest attempt of each task that was stopped or has ended.
    fences: BTreeMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    next_beat: u64,
    is_draining: bool,
    /// Times at which heartbeats that said `draining` were acknowledged.
    drains_taken: Vec<Instant>,
    runs: Vec<Run>,
    is_over: bool,
}

struct Shared {
    plan: WorkerPlan,
    record: Record,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Clone)]
pub struct Worker {
    shared: Arc<Shared>,
}

impl Worker {
    pub fn start(plan: WorkerPlan, record: Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind(plan.address)?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let state = State {
            started: Instant::now(),
            born: born.as_millis() as u64,
            token: 0,
            hold_until_ms: 0,
            running: BTreeMap::new(),
            fences: BTreeMap::new(),
            finished: Vec::new(),
            next_end: 1,
            next_beat: 1,
            is_draining: false,
            drains_taken: Vec::new(),
            runs: Vec::new(),
            is_over: false,
        };
        let (state, changed) = (Mutex::new(state), Condvar::new());
        let shared = Arc::new(Shared { plan, record, state, changed });
        let worker = Self { shared };
        let served = worker.clone();
        serve(listener, move |request| served.handle(request));
        let beating = worker.clone();
        std::thread::spawn(move || beating.beat());
        let advancing = worker.clone();
        std::thread::spawn(move || advancing.advance_until_over());
        Ok(worker)
    }

    /// Makes the worker say that it leaves, with its next heartbeats. It serves on.
    pub fn drain(&self) {
        self.shared.state.lock().expect("worker").is_draining = true;
    }

    /// Returns the time at which a heartbeat that said `draining` was first acknowledged.
    pub fn drain_taken(&self) -> Option<Instant> {
        self.shared.state.lock().expect("worker").drains_taken.first().copied()
    }

    /// Returns the name and the start of the worker, and the number of its last heartbeat.
    pub fn identity(&self) -> (String, u64, u64) {
        let state = self.shared.state.lock().expect("worker");
        (self.shared.plan.id.clone(), state.born, state.next_beat - 1)
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<Run> {
        let mut state = self.shared.state.lock().expect("worker");
        self.advance(&mut state);
        state.runs.clone()
    }

    /// Sends heartbeats: at once, then each 1.5 s.
    fn beat(&self) {
        let plan = &self.shared.plan;
        loop {
            let mut state = self.shared.state.lock().expect("worker");
            if state.is_over {
                return;
            }
            let capacity = Json::object(&[
                ("cpu", Json::number(plan.cpu)),
                ("memMb", Json::number(plan.mem_mb)),
                ("gpu", Json::number(0)),
            ]);
            let is_draining = state.is_draining;
            let said = if is_draining { "draining" } else { "ready" };
            let labels = plan.labels.iter().map(Json::text).collect();
            let body = Json::object(&[
                ("service", Json::text(plan.service.clone())),
                ("address", Json::text(plan.address.to_string())),
                ("zone", Json::text(plan.zone.clone())),
                ("version", Json::text("v1")),
                ("slots", Json::number(8)),
                ("state", Json::text(said)),
                ("coldLeftMs", Json::number(0)),
                ("capacity", capacity),
                ("labels", Json::List(labels)),
                ("clockMs", Json::number(state.clock_ms())),
                ("seqNo", Json::number(state.next_beat)),
                ("born", Json::number(state.born)),
                // The least time that is left; the worker of this test stays longer than its test.
                ("remainingMs", Json::number(20_000)),
            ]);
            state.next_beat += 1;
            drop(state);
            let path = format!("/mastknot/instances/{}/heartbeat", plan.id);
            let limit = Duration::from_secs(1);
            let reply = call(plan.control, "POST", &path, &[], &body.to_string(), limit);
            // A side that is not up yet gets the next heartbeat soon.
            let is_taken = reply.is_some_and(|(status, _)| status / 100 == 2);
            if is_draining {
                self.shared.record.line(&format!("{} says draining, acknowledged: {is_taken}", plan.id));
            }
            if is_draining && is_taken {
                self.shared.state.lock().expect("worker").drains_taken.push(Instant::now());
            }
            std::thread::sleep(if is_taken { HEARTBEAT } else { Duration::from_millis(200) });
        }
    }

    fn advance_until_over(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(2));
            let mut state = self.shared.state.lock().expect("worker");
            if state.is_over {
                return;
            }
            self.advance(&mut state);
        }
    }

    /// Ends the runs that are due or whose hold is over.
    fn advance(&self, state: &mut State) {
        let now = Instant::now();
        let hold_ends = state.started + Duration::from_millis(state.hold_until_ms);
        let due = state.running.iter().filter(|(_, run)| run.ends.min(hold_ends) <= now);
        let due: Vec<(String, u64)> = due.map(|(key, _)| key.clone()).collect();
        for key in due {
            let Some(run) = state.running.remove(&key) else {
                continue;
            };
            let how = if run.ends <= hold_ends { run.how } else { "lapsed" };
            state.runs[run.record].ended = Some(run.ends.min(hold_ends));
            state.runs[run.record].how = how;
            let (id, (task, attempt)) = (&self.shared.plan.id, &key);
            self.shared.record.line(&format!("{id} ends {task} run {attempt}: {how}"));
            state.fences.insert(key.0.clone(), key.1);
            let number = state.next_end;
            state.next_end += 1;
            state.finished.push((number, key.0, key.1, how));
            self.shared.changed.notify_all();
        }
    }

    fn handle(&self, request: Request) -> Option<Answer> {
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.shared.plan.id) {
            return answer(421, "");
        }
        let body = Json::parse(&request.body)?;
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/mastknot/run-start") => self.start_run(&body),
            ("POST", "/mastknot/run-stop") => self.stop_run(&body),
            ("POST", "/mastknot/hold") => self.hold(&body),
            ("GET", _) => answer(200, ""),
            _ => answer(404, ""),
        }
    }

    fn start_run(&self, body: &Json) -> Option<Answer> {
        let mut state = self.shared.state.lock().expect("worker");
        self.advance(&mut state);
        if state.is_fenced(body) {
            return state.conflict("fence");
        }
        let deadline = body.get("deadlineMs").as_u64().unwrap_or(0);
        if deadline <= state.clock_ms() {
            return state.conflict("late");
        }
        state.extend_hold(deadline);
        let task = body.get("task").as_str()?.to_owned();
        let attempt = body.get("attempt").as_u64()?;
        let key = (task.clone(), attempt);
        if state.running.contains_key(&key) {
            return state.done();
        }
        if state.fences.get(&task).is_some_and(|fence| attempt <= *fence) {
            return state.conflict("old");
        }
        let plan = &self.shared.plan;
        let takes = body.get("spec").as_str().and_then(|text| text.parse().ok());
        let takes = Duration::from_millis(takes.unwrap_or(50));
        let began = Instant::now();
        let record = state.runs.len();
        state.runs.push(Run {
            worker: plan.id.clone(),
            zone: plan.zone.clone(),
            task: task.clone(),
            attempt,
            began,
            ended: None,
            how: "",
        });
        state.running.insert(key, Running { ends: began + takes, takes, how: "done", record });
        let (id, zone) = (&plan.id, &plan.zone);
        self.shared.record.line(&format!("{id} in {zone} starts {task} run {attempt}"));
        state.done()
    }

    fn stop_run(&self, body: &Json) -> Option<Answer> {
        let mut state = self.shared.state.lock().expect("worker");
        self.advance(&mut state);
        if state.is_fenced(body) {
            return state.conflict("fence");
        }
        let task = body.get("task").as_str()?.to_owned();
        let attempt = body.get("attempt").as_u64()?;
        match state.running.get_mut(&(task.clone(), attempt)) {
            Some(run) => {
                let stops = Instant::now() + STOP_TIME;
                if stops < run.ends {
                    run.ends = stops;
                    run.how = "stopped";
                }
            }
            None => {
                let fence = state.fences.entry(task).or_default();
                *fence = attempt.max(*fence);
            }
        }
        state.done()
    }

    fn hold(&self, body: &Json) -> Option<Answer> {
        let wait = body.get("waitMs").as_u64().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let seen = body.get("lastSeen").as_u64().unwrap_or(0);
        let mut state = self.shared.state.lock().expect("worker");
        self.advance(&mut state);
        if state.is_fenced(body) {
            return state.conflict("fence");
        }
        state.extend_hold(body.get("deadlineMs").as_u64().unwrap_or(0));
        state.finished.retain(|(number, ..)| *number > seen);
        loop {
            let now = Instant::now();
            if !state.finished.is_empty() || now >= until {
                return answer(200, state.lists());
            }
            state = self.shared.changed.wait_timeout(state, until - now).expect("worker").0;
        }
    }
}

impl State {
    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn is_fenced(&mut self, body: &Json) -> bool {
        let token = body.get("fencingToken").as_u64().unwrap_or(0);
        let is_fenced = token < self.token;
        self.token = self.token.max(token);
        is_fenced
    }

    fn extend_hold(&mut self, until_ms: u64) {
        let longest = self.clock_ms() + MAX_HOLD_MS;
        self.hold_until_ms = self.hold_until_ms.max(until_ms.min(longest));
    }

    fn done(&self) -> Option<Answer> {
        answer(200, Json::object(&[("clockMs", Json::number(self.clock_ms()))]))
    }

    fn conflict(&self, reason: &str) -> Option<Answer> {
        let clock_ms = Json::number(self.clock_ms());
        answer(409, Json::object(&[("clockMs", clock_ms), ("reason", Json::text(reason))]))
    }

    fn lists(&self) -> Json {
        let now = Instant::now();
        let running = self.running.iter().map(|((task, attempt), run)| {
            let left = run.ends.saturating_duration_since(now).as_secs_f64();
            let percent = 100.0 * (1.0 - left / run.takes.as_secs_f64().max(0.001));
            let percent = Json::number(percent.clamp(0.0, 99.0) as u64);
            let (task, attempt) = (Json::text(task.clone()), Json::number(*attempt));
            Json::List(vec![task, attempt, Json::text(""), percent, Json::number(0)])
        });
        let finished = self.finished.iter().map(|(number, task, attempt, how)| {
            let (number, attempt) = (Json::number(*number), Json::number(*attempt));
            Json::List(vec![number, Json::text(task.clone()), attempt, Json::text(*how), Json::text("")])
        });
        Json::object(&[
            ("clockMs", Json::number(self.clock_ms())),
            ("born", Json::number(self.born)),
            ("running", Json::List(running.collect())),
            ("finished", Json::List(finished.take(500).collect())),
        ])
    }
}
