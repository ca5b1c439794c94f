use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::actor::{ActorRef, Spawn};
use mastknot_core::entry::{EntryCore, EntryEvent};
use mastknot_runtime::{
    CheckSettings, Clock, HttpServer, MetricsExporter, StoreClient, check_address, flatten_counters,
};
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::actor::{EntryActor, EntryParts, GetLive, Input, LiveKind, Shared};
use crate::callers::{BadInputCounters, CallerApi};
use crate::operators::OperatorApi;
use crate::peers::listen;
use crate::platform::{feed_config, feed_vms};
use crate::settings::EntryFile;
use mastknot_runtime::NodeError;
use mastknot_runtime::node_context::{ListenSnafu, StartSnafu};

/// Maximum number of messages that wait in the actor's mailbox.
const MAILBOX_CAPACITY: usize = 16_384;
/// Time between two exports of the counters.
const EXPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Time that the last messages to peers and sides get to leave the process before it ends.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Result of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopReport {
    /// Number of submissions without an answer at the stop deadline, which were aborted; zero if
    /// all submissions ended in time.
    pub aborted_submissions: usize,
}

/// A running entry that serves callers, operators, sides and peers.
#[derive(Debug)]
pub struct EntryNode {
    actor: ActorRef<EntryActor>,
    shared: Arc<Shared>,
    callers: HttpServer,
    operators: HttpServer,
    metrics: HttpServer,
    links_address: SocketAddr,
    tasks: JoinSet<()>,
    stop_deadline: Duration,
}

struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    metrics: TcpListener,
    links: TcpListener,
}

async fn bind(key: &str, address: &str) -> Result<TcpListener, NodeError> {
    let bound = TcpListener::bind(address).await;
    bound.context(ListenSnafu { key, address })
}

async fn bind_all(file: &EntryFile) -> Result<Listeners, NodeError> {
    Ok(Listeners {
        callers: bind("callers_listen", &file.callers_listen).await?,
        operators: bind("operators_listen", &file.operators_listen).await?,
        metrics: bind("metrics_listen", &file.metrics_listen).await?,
        links: bind("links_listen", &file.links_listen).await?,
    })
}

impl EntryNode {
    /// Starts an entry.
    ///
    /// The settings are checked and all listeners are bound before the actor and the servers start.
    ///
    /// # Errors
    ///
    /// Returns an error if a setting is invalid, an address can't be bound, or a part can't start.
    pub async fn start(file: EntryFile) -> Result<Self, NodeError> {
        file.check()?;
        let listeners = bind_all(&file).await?;
        let links_address = listeners.links.local_addr();
        let links_address = links_address.context(StartSnafu { part: "links" })?;
        let address = match &file.links_address {
            Some(address) => address.clone(),
            None => links_address.to_string(),
        };
        let clock = Clock::start();
        let store_limit = Duration::from_millis(file.store_limit_ms);
        let shared = Arc::new(Shared {
            clock,
            stats: Arc::default(),
            store: StoreClient::new(check_address("store", &file.store)?, store_limit),
            config_version: watch::Sender::new(0),
            stopped: watch::Sender::new(false),
        });
        let mut seeds = Vec::new();
        for peer in &file.peers {
            seeds.push(check_address("peers", peer)?);
        }
        let parts = EntryParts {
            core: EntryCore::new(file.core_settings(clock.incarnation(), address)),
            shared: Arc::clone(&shared),
            seeds,
        };
        let mailbox = kameo::mailbox::bounded(MAILBOX_CAPACITY);
        let actor = EntryActor::spawn_with_mailbox(parts, mailbox);
        Self::serve(file, listeners, links_address, actor, shared)
    }

    fn serve(
        file: EntryFile,
        listeners: Listeners,
        links_address: SocketAddr,
        actor: ActorRef<EntryActor>,
        shared: Arc<Shared>,
    ) -> Result<Self, NodeError> {
        let bad_input: Arc<BadInputCounters> = Arc::default();
        let caller_api = CallerApi {
            actor: actor.clone(),
            clock: shared.clock,
            max_body: file.max_body_bytes,
            bad_input: Arc::clone(&bad_input),
        };
        let operator_api = OperatorApi {
            actor: actor.clone(),
            shared: Arc::clone(&shared),
            bad_input,
        };
        let metrics_api = operator_api.clone();
        let exported_api = operator_api.clone();
        let callers = HttpServer::start(listeners.callers, move |request| {
            caller_api.clone().answer(request)
        });
        let operators = HttpServer::start(listeners.operators, move |request| {
            operator_api.clone().answer(request)
        });
        let metrics = HttpServer::start(listeners.metrics, move |request| {
            metrics_api.clone().metrics(request)
        });
        let mut tasks = JoinSet::new();
        let stats = Arc::clone(&shared.stats);
        tasks.spawn(listen(listeners.links, actor.clone(), stats));
        tasks.spawn(feed_config(Arc::clone(&shared), actor.clone()));
        if let Some(vm_list) = &file.vm_list {
            let address = check_address("vm_list", vm_list)?;
            tasks.spawn(feed_vms(address, actor.clone()));
        }
        let statsd = match &file.statsd {
            Some(statsd) => Some(check_address("statsd", statsd)?),
            None => None,
        };
        let exporter = MetricsExporter::new("mastknot.entry", statsd);
        let exporter = exporter.context(StartSnafu { part: "statsd" })?;
        tasks.spawn(export(exporter, exported_api));
        Ok(Self {
            actor,
            shared,
            callers: callers.context(StartSnafu { part: "callers" })?,
            operators: operators.context(StartSnafu { part: "operators" })?,
            metrics: metrics.context(StartSnafu { part: "metrics" })?,
            links_address,
            tasks,
            stop_deadline: Duration::from_millis(file.stop_deadline_ms),
        })
    }

    /// Returns the address at which callers connect.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address at which operators connect.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns the address of the HTTP server that serves the counters.
    pub fn metrics_address(&self) -> SocketAddr {
        self.metrics.address()
    }

    /// Returns the address at which sides and peers connect.
    pub fn links_address(&self) -> SocketAddr {
        self.links_address
    }

    /// Stops the entry as planned: leaves the roster, finishes the submissions in flight, hands the
    /// ledger over, and ends.
    ///
    /// At the stop deadline of the settings the entry ends in any case, and the report holds the
    /// number of aborted submissions.
    pub async fn stop(self) -> StopReport {
        let _ = self.actor.tell(Input(EntryEvent::Stop)).await;
        let mut stopped = self.shared.stopped.subscribe();
        let finished = stopped.wait_for(|is_stopped| *is_stopped);
        let in_time = tokio::time::timeout(self.stop_deadline, finished).await;
        let is_in_time = in_time.is_ok();
        drop(in_time);
        let aborted_submissions = if is_in_time { 0 } else { self.active().await };
        // The core has passed its last answers to the HTTP servers, which still have to send them.
        let servers = async {
            tokio::join!(
                self.callers.stop(),
                self.operators.stop(),
                self.metrics.stop()
            );
        };
        let _ = tokio::time::timeout(FLUSH_TIME * 5, servers).await;
        tokio::time::sleep(FLUSH_TIME).await;
        let mut tasks = self.tasks;
        tasks.abort_all();
        self.actor.kill();
        self.actor.wait_for_shutdown().await;
        StopReport {
            aborted_submissions,
        }
    }

    /// Returns the number of submissions without an answer.
    async fn active(&self) -> usize {
        let counters = self.actor.ask(GetLive(LiveKind::Counters)).await;
        let active = counters.map(|live| live.0["now"]["active"].as_u64());
        active.ok().flatten().unwrap_or(0) as usize
    }

    /// Ends the entry at once, without a planned stop, as a crash would.
    pub async fn abort(mut self) {
        self.callers.abort();
        self.operators.abort();
        self.metrics.abort();
        self.tasks.abort_all();
        self.actor.kill();
        self.actor.wait_for_shutdown().await;
    }
}

async fn export(mut exporter: MetricsExporter, api: OperatorApi) {
    loop {
        tokio::time::sleep(EXPORT_INTERVAL).await;
        let Some(counters) = api.counters().await else {
            return;
        };
        exporter.export(flatten_counters(&counters));
    }
}
