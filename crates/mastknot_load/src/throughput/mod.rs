//! Throughput of one machine in tasks per second, over real sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use mastknot_client::Client;
use mastknot_harness::{Harness, Plan};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::error::LoadError;
use crate::keys::new_key;

/// Timeout of the call that submits a job.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct ThroughputPlan {
    /// Number of entries.
    pub entries: usize,
    /// Number of sides, each with a worker.
    pub sides: usize,
    /// Number of slots of each side.
    pub slots: u16,
    /// Number of jobs in flight at once.
    pub jobs: usize,
    /// Number of tasks in each job.
    pub tasks: usize,
    /// Run time of a task, in milliseconds.
    pub task_ms: u64,
    /// Time during which jobs are submitted, in seconds.
    pub seconds: u64,
}

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct ThroughputReport {
    /// Tasks of completed jobs per second.
    pub tasks_per_second: f64,
    /// Number of jobs that completed.
    pub jobs_completed: u64,
    /// Number of jobs that did not complete.
    pub jobs_not_completed: u64,
    /// Messages between entries and sides for each task, including control messages.
    pub messages_per_task: f64,
    /// Control messages between entries and sides for each task.
    pub control_messages_per_task: f64,
}

#[derive(Debug, Default)]
struct JobCounters {
    completed: AtomicU64,
    not_completed: AtomicU64,
}

/// Keeps a number of jobs in flight for the time of the plan and counts the completed ones.
pub async fn measure_throughput(plan: ThroughputPlan) -> Result<ThroughputReport, LoadError> {
    let system = Plan::new(["hall-1", "hall-2"])
        .entries(plan.entries)
        .sides(plan.sides)
        .slots(plan.slots)
        .recording(false);
    let harness = Harness::start(system).await?;
    let service = json!({ "path": "/run", "typical_ms": plan.task_ms.max(1) });
    harness.create("service", "run", service).await?;
    let client = Client::new(CALL_TIMEOUT);
    let counters: Arc<JobCounters> = Arc::default();
    let started = Instant::now();
    let end = started + Duration::from_secs(plan.seconds);
    let callers = harness.callers();
    let mut submitters = JoinSet::new();
    for index in 0..plan.jobs {
        let entry = callers[index % callers.len()];
        let (client, counters) = (client.clone(), Arc::clone(&counters));
        submitters.spawn(submit_until(client, entry, plan, end, counters));
    }
    while submitters.join_next().await.is_some() {}
    let elapsed = started.elapsed().as_secs_f64();
    let jobs_completed = counters.completed.load(Ordering::Relaxed);
    let tasks = (jobs_completed * plan.tasks as u64).max(1) as f64;
    let (work, control) = messages(&harness).await?;
    Ok(ThroughputReport {
        tasks_per_second: tasks / elapsed,
        jobs_completed,
        jobs_not_completed: counters.not_completed.load(Ordering::Relaxed),
        messages_per_task: (work + control) as f64 / tasks,
        control_messages_per_task: control as f64 / tasks,
    })
}

async fn submit_until(
    client: Client,
    entry: SocketAddr,
    plan: ThroughputPlan,
    end: Instant,
    counters: Arc<JobCounters>,
) {
    let work = json!({ "ms": plan.task_ms, "value": 1 });
    let tasks: Vec<Value> = vec![work; plan.tasks];
    while Instant::now() < end {
        let body = json!({
            "key": new_key().to_string(),
            "team": "team",
            "customer": "customer",
            "service": "run",
            "deadline_ms": 20_000,
            "tasks": tasks,
        });
        let answer = client.post(entry, "/v1/jobs", &body).await;
        let is_complete = answer.is_ok_and(|answer| answer.state() == "complete");
        let counter = if is_complete {
            &counters.completed
        } else {
            &counters.not_completed
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Returns the numbers of work and control messages that the entries sent and received.
async fn messages(harness: &Harness) -> Result<(u64, u64), LoadError> {
    let (mut work, mut control) = (0, 0);
    for (index, _) in harness.callers().iter().enumerate() {
        let Some(entry) = harness.entry(index) else {
            continue;
        };
        let answer = harness
            .client
            .get(entry.metrics_address(), "/metrics")
            .await?;
        let links = &answer.body["links"];
        let read = |name: &str| links[name].as_u64().unwrap_or(0);
        work += read("work_messages_sent") + read("work_messages_received");
        control += read("control_messages_sent") + read("control_messages_received");
    }
    Ok((work, control))
}
