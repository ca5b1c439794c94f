use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use kameo::actor::{ActorRef, Spawn};
use mastknot_core::side::{SideCore, SideEvent};
use mastknot_runtime::{
    CheckSettings, Clock, HttpServer, MetricsExporter, ResponseBody, empty_response,
    flatten_counters, json_response,
};
use mastknot_wire::LinkStats;
use serde_json::{Value, json};
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::actor::{GetReport, Input, SideActor, SideParts};
use crate::settings::SideFile;
use crate::target::TargetClient;
use mastknot_runtime::NodeError;
use mastknot_runtime::node_context::{ListenSnafu, StartSnafu};

/// Maximum number of messages that wait in the actor's mailbox.
const MAILBOX_CAPACITY: usize = 4_096;
/// Time between two exports of the counters.
const EXPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Time that the last answers get to leave the process before it ends.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Result of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopReport {
    /// Number of tasks that still ran at the stop deadline and were aborted; zero if all tasks
    /// ended in time.
    pub aborted_tasks: usize,
}

/// A running side that runs whole tasks on the slots of its target.
#[derive(Debug)]
pub struct SideNode {
    actor: ActorRef<SideActor>,
    metrics: HttpServer,
    exporter: JoinHandle<()>,
    drained: watch::Receiver<bool>,
    stop_deadline: Duration,
}

impl SideNode {
    /// Starts a side.
    ///
    /// The settings are checked before any address is bound.
    ///
    /// # Errors
    ///
    /// Returns an error if a setting is invalid, an address can't be bound, or a part can't start.
    pub async fn start(file: SideFile) -> Result<Self, NodeError> {
        file.check()?;
        let target = mastknot_runtime::check_address("target", &file.target)?;
        let mut entries = Vec::new();
        for entry in &file.entries {
            entries.push(mastknot_runtime::check_address("entries", entry)?);
        }
        let listener = TcpListener::bind(&file.metrics_listen)
            .await
            .context(ListenSnafu {
                key: "metrics_listen",
                address: &file.metrics_listen,
            })?;
        let clock = Clock::start();
        let stats: Arc<LinkStats> = Arc::default();
        let (drained_sender, drained) = watch::channel(false);
        let parts = SideParts {
            core: SideCore::new(file.core_settings(clock.incarnation())),
            clock,
            target: TargetClient::new(target),
            stats: Arc::clone(&stats),
            drained: drained_sender,
            entries,
        };
        let mailbox = kameo::mailbox::bounded(MAILBOX_CAPACITY);
        let actor = SideActor::spawn_with_mailbox(parts, mailbox);
        let handler_parts = (actor.clone(), Arc::clone(&stats));
        let metrics = HttpServer::start(listener, move |request| {
            answer(
                handler_parts.0.clone(),
                Arc::clone(&handler_parts.1),
                request,
            )
        });
        let metrics = metrics.context(StartSnafu { part: "metrics" })?;
        let exporter = start_exporter(&file, actor.clone(), stats)?;
        Ok(Self {
            actor,
            metrics,
            exporter,
            drained,
            stop_deadline: Duration::from_millis(file.stop_deadline_ms),
        })
    }

    /// Returns the address of the HTTP server that serves the counters.
    pub fn metrics_address(&self) -> SocketAddr {
        self.metrics.address()
    }

    /// Begins a planned stop: the side grants no further credits, and running tasks continue.
    pub async fn drain(&self) {
        let _ = self.actor.tell(Input(SideEvent::Drain)).await;
    }

    /// Stops the side as planned: drains it, waits until no task runs, at most for the stop
    /// deadline of the settings, and ends the actor and the servers.
    pub async fn stop(mut self) -> StopReport {
        self.drain().await;
        let drained = self.drained.wait_for(|is_drained| *is_drained);
        let in_time = tokio::time::timeout(self.stop_deadline, drained).await;
        let is_in_time = in_time.is_ok();
        drop(in_time);
        let aborted_tasks = if is_in_time { 0 } else { self.running().await };
        tokio::time::sleep(FLUSH_TIME).await;
        self.abort().await;
        StopReport { aborted_tasks }
    }

    /// Returns the number of tasks that run now.
    pub async fn running(&self) -> usize {
        let report = self.actor.ask(GetReport).await;
        report.map_or(0, |report| report.running)
    }

    /// Ends the side at once, without a drain, as a crash would.
    pub async fn abort(self) {
        self.exporter.abort();
        self.metrics.abort();
        self.actor.kill();
        self.actor.wait_for_shutdown().await;
    }
}

async fn counters(actor: &ActorRef<SideActor>, stats: &LinkStats) -> Option<Value> {
    let report = actor.ask(GetReport).await.ok()?;
    let mut value = serde_json::to_value(report).ok()?;
    let links: serde_json::Map<String, Value> = stats
        .counters()
        .into_iter()
        .map(|(name, count)| (name, json!(count)))
        .collect();
    value["links"] = Value::Object(links);
    Some(value)
}

async fn answer(
    actor: ActorRef<SideActor>,
    stats: Arc<LinkStats>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    match request.uri().path() {
        "/metrics" => match counters(&actor, &stats).await {
            Some(counters) => json_response(StatusCode::OK, &counters),
            None => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        },
        "/health" => empty_response(StatusCode::OK),
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

fn start_exporter(
    file: &SideFile,
    actor: ActorRef<SideActor>,
    stats: Arc<LinkStats>,
) -> Result<JoinHandle<()>, NodeError> {
    let address = match &file.statsd {
        Some(statsd) => Some(mastknot_runtime::check_address("statsd", statsd)?),
        None => None,
    };
    let mut exporter =
        MetricsExporter::new("mastknot.side", address).context(StartSnafu { part: "statsd" })?;
    Ok(tokio::spawn(async move {
        loop {
            tokio::time::sleep(EXPORT_INTERVAL).await;
            let Some(counters) = counters(&actor, &stats).await else {
                return;
            };
            exporter.export(flatten_counters(&counters));
        }
    }))
}
