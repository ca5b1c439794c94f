//! Clients that submit best-effort jobs.

use std::net::SocketAddr;
use std::time::Duration;

use crate::bed::HOST;
use crate::http::call;
use crate::json::Json;
use crate::record::Record;

/// A best-effort job.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: u64,
    pub prefix: &'static str,
    /// Number of steps, each of which waits for the one before it.
    pub steps: u64,
    /// Number of tasks in each step.
    pub tasks: u64,
    pub task_ms: u64,
    pub cpu: u64,
    /// Time that the client waits for the answer.
    pub deadline_ms: u64,
}

impl Job {
    pub fn path(&self) -> String {
        format!("{}{:016x}", self.prefix, self.id)
    }

    fn body(&self) -> String {
        let steps = (0..self.steps).map(|step| {
            let before: Vec<Json> = step.checked_sub(1).map(Json::number).into_iter().collect();
            Json::object(&[
                ("count", Json::number(self.tasks)),
                ("cpu", Json::number(self.cpu)),
                ("memMb", Json::number(64)),
                ("estRuntimeMs", Json::number(self.task_ms)),
                ("sinceRev", Json::List(before)),
            ])
        });
        let body = Json::object(&[
            ("spec", Json::text(self.task_ms.to_string())),
            ("bestEffort", Json::Bool(true)),
            ("steps", Json::List(steps.collect())),
        ]);
        body.to_string()
    }

    /// Submits the job and waits for its answer. Returns the status, 0 without an answer.
    pub fn submit(&self, front: SocketAddr, record: &Record) -> u16 {
        let path = self.path();
        let Self { steps, tasks, task_ms, .. } = self;
        record.line(&format!("client sends POST {path} to {front}: {steps} steps of {tasks} tasks of {task_ms} ms"));
        let headers = [("host", HOST.to_owned()), ("x-deadline-ms", self.deadline_ms.to_string())];
        let limit = Duration::from_millis(self.deadline_ms);
        let reply = call(front, "POST", &path, &headers, &self.body(), limit);
        let (status, body) = reply.unwrap_or_default();
        record.line(&format!("client gets {status} for POST {path}: {body}"));
        status
    }

    /// Asks an entry to cancel the job. Returns the status, 0 without an answer.
    pub fn cancel(&self, front: SocketAddr, record: &Record) -> u16 {
        let path = self.path();
        record.line(&format!("client sends DELETE {path} to {front}"));
        let headers = [("host", HOST.to_owned())];
        let reply = call(front, "DELETE", &path, &headers, "", Duration::from_secs(4));
        let (status, body) = reply.unwrap_or_default();
        record.line(&format!("client gets {status} for DELETE {path}: {body}"));
        status
    }
}

/// Returns a configuration with one queue for each prefix, as the operator writes it.
pub fn configuration(version: u64, prefixes: &[&str], service: &str) -> String {
    let routes = prefixes.iter().map(|prefix| {
        Json::object(&[
            ("name", Json::text(format!("queue{}", prefix.replace('/', "-")))),
            ("host", Json::text(HOST)),
            ("pathPrefix", Json::text(*prefix)),
            ("service", Json::text(service)),
            ("timeoutMs", Json::number(1_500)),
            ("sloMs", Json::number(60)),
            ("priority", Json::number(0)),
            ("maxAttempts", Json::number(2)),
            ("stretch", Json::Number(1.6)),
        ])
    });
    let service = Json::object(&[
        ("name", Json::text(service)),
        ("maxConns", Json::number(64)),
        ("rejectsOverload", Json::Bool(true)),
    ]);
    let limits = Json::object(&[("maxBodyBytes", Json::number(262_144))]);
    let configuration = Json::object(&[
        ("version", Json::number(version)),
        ("routes", Json::List(routes.collect())),
        ("services", Json::List(vec![service])),
        ("limits", limits),
    ]);
    configuration.to_string()
}
