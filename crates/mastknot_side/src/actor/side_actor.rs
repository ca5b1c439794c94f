use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use log::{debug, info};
use mastknot_core::config::Service;
use mastknot_core::message::{EntryMessage, NotRunReason, SideMessage, TaskOrder, TaskOutcome};
use mastknot_core::side::{SideCore, SideCounters, SideEffect, SideEvent};
use mastknot_core::types::{NodeName, TaskId};
use mastknot_runtime::{Clock, Ticker};
use mastknot_wire::{LinkSender, LinkStats};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use super::links::keep_dialing;
use crate::target::TargetClient;

/// An open link to an entry.
struct EntryLink {
    id: u64,
    sender: LinkSender<SideMessage>,
}

/// HTTP path of a service with the configuration version from which the path was read; `None` if
/// that version does not define the service.
struct KnownPath {
    version: u64,
    path: Option<Arc<str>>,
}

/// Parts from which the actor is started.
pub(crate) struct SideParts {
    pub(crate) core: SideCore,
    pub(crate) clock: Clock,
    pub(crate) target: TargetClient,
    pub(crate) stats: Arc<LinkStats>,
    pub(crate) drained: watch::Sender<bool>,
    pub(crate) entries: Vec<SocketAddr>,
}

/// Actor that owns the core of a side and carries out the core's effects.
pub(crate) struct SideActor {
    parts: SideParts,
    me: ActorRef<SideActor>,
    ticker: Ticker,
    links: HashMap<NodeName, EntryLink>,
    dialed: HashSet<SocketAddr>,
    /// Tasks that dial entries. They end with the actor, because a `JoinSet` aborts its tasks when
    /// it is dropped.
    dialing: JoinSet<()>,
    tasks: HashMap<TaskId, JoinHandle<()>>,
    paths: HashMap<NodeName, KnownPath>,
}

impl Actor for SideActor {
    type Args = SideParts;
    type Error = std::convert::Infallible;

    async fn on_start(parts: Self::Args, me: ActorRef<Self>) -> Result<Self, Self::Error> {
        let ticked = me.clone();
        let ticker = Ticker::start(parts.clock, move || {
            let ticked = ticked.clone();
            async move {
                let _ = ticked.tell(Input(SideEvent::Tick)).await;
            }
        });
        let entries = parts.entries.clone();
        let mut actor = Self {
            parts,
            me,
            ticker,
            links: HashMap::new(),
            dialed: HashSet::new(),
            dialing: JoinSet::new(),
            tasks: HashMap::new(),
            paths: HashMap::new(),
        };
        for address in entries {
            actor.dial(address);
        }
        Ok(actor)
    }
}

impl Drop for SideActor {
    fn drop(&mut self) {
        self.tasks.values().for_each(JoinHandle::abort);
    }
}

/// Message with one event for the core.
pub(crate) struct Input(pub(crate) SideEvent);

/// Message with the messages of one entry that arrived together.
pub(crate) struct Inputs {
    pub(crate) entry: NodeName,
    pub(crate) messages: Vec<EntryMessage>,
}

/// Message that a link to an entry is open.
pub(crate) struct LinkUp {
    pub(crate) entry: NodeName,
    pub(crate) id: u64,
    pub(crate) sender: LinkSender<SideMessage>,
}

/// Message that a link to an entry has closed or a task has ended.
pub(crate) enum Finished {
    Link { entry: NodeName, id: u64 },
    Task { task: TaskId, outcome: TaskOutcome },
}

/// Request for the side's [`Report`].
pub(crate) struct GetReport;

/// Figures of a side that operators read.
#[derive(Clone, Debug, kameo::Reply, serde::Serialize)]
pub(crate) struct Report {
    pub(crate) side: NodeName,
    pub(crate) config_version: u64,
    pub(crate) running: usize,
    pub(crate) is_draining: bool,
    /// Whether operators have drained the side's hall.
    pub(crate) is_hall_drained: bool,
    pub(crate) entries: usize,
    pub(crate) counters: SideCounters,
}

impl Message<Input> for SideActor {
    type Reply = ();

    async fn handle(&mut self, input: Input, _: &mut Context<Self, Self::Reply>) {
        self.step(input.0);
    }
}

impl Message<Inputs> for SideActor {
    type Reply = ();

    async fn handle(&mut self, inputs: Inputs, _: &mut Context<Self, Self::Reply>) {
        for message in inputs.messages {
            if let EntryMessage::Welcome { entries, .. } = &message {
                self.dial_entries(entries);
            }
            let entry = inputs.entry.clone();
            self.step(SideEvent::FromEntry { entry, message });
        }
    }
}

impl Message<LinkUp> for SideActor {
    type Reply = ();

    async fn handle(&mut self, up: LinkUp, _: &mut Context<Self, Self::Reply>) {
        info!(entry = up.entry.as_str(); "link to an entry is open");
        let entry = up.entry.clone();
        let link = EntryLink {
            id: up.id,
            sender: up.sender,
        };
        self.links.insert(up.entry, link);
        self.step(SideEvent::EntryJoined { entry });
    }
}

impl Message<Finished> for SideActor {
    type Reply = ();

    async fn handle(&mut self, finished: Finished, _: &mut Context<Self, Self::Reply>) {
        match finished {
            Finished::Link { entry, id } => {
                let is_current = self.links.get(&entry).is_some_and(|link| link.id == id);
                if is_current {
                    info!(entry = entry.as_str(); "link to an entry is lost");
                    self.links.remove(&entry);
                    self.step(SideEvent::EntryLeft { entry });
                }
            }
            Finished::Task { task, outcome } => self.task_ended(task, outcome),
        }
    }
}

impl Message<GetReport> for SideActor {
    type Reply = Report;

    async fn handle(&mut self, _: GetReport, _: &mut Context<Self, Self::Reply>) -> Report {
        let core = &self.parts.core;
        Report {
            side: core.hello().side,
            config_version: core.config().version(),
            running: core.running(),
            is_draining: core.is_draining(),
            is_hall_drained: core.is_hall_drained(),
            entries: self.links.len(),
            counters: core.counters(),
        }
    }
}

impl SideActor {
    /// Passes an event to the core, carries out the effects and sets the next tick.
    fn step(&mut self, event: SideEvent) {
        let now = self.parts.clock.monotonic();
        let effects = self.parts.core.step(now, event);
        for effect in effects {
            self.carry_out(effect);
        }
        self.ticker.set(self.parts.core.next_tick());
        self.parts.drained.send_if_modified(|drained| {
            let is_drained = self.parts.core.is_drained();
            std::mem::replace(drained, is_drained) != is_drained
        });
    }

    fn carry_out(&mut self, effect: SideEffect) {
        match effect {
            SideEffect::Send { entry, message } => {
                if let Some(link) = self.links.get(&entry)
                    && let Err(error) = link.sender.send(message)
                {
                    debug!(entry = entry.as_str(); "message to an entry not sent: {error}");
                }
            }
            SideEffect::Run(order) => self.run(order),
            SideEffect::Abort(task) => {
                if let Some(running) = self.tasks.get(&task) {
                    running.abort();
                    let outcome = TaskOutcome::Stopped;
                    self.task_ended(task, outcome);
                }
            }
        }
    }

    fn run(&mut self, order: TaskOrder) {
        let task = order.task;
        let Some(path) = self.path(&order.service) else {
            let outcome = TaskOutcome::NotRun(NotRunReason::UnknownService);
            return self.step(SideEvent::TaskEnded { task, outcome });
        };
        let target = self.parts.target.clone();
        let me = self.me.clone();
        let running = tokio::spawn(async move {
            let outcome = target.run(&path, order).await;
            let _ = me.tell(Finished::Task { task, outcome }).await;
        });
        self.tasks.insert(task, running);
    }

    /// Reports the end of a task to the core once; a second end of the same task is ignored.
    fn task_ended(&mut self, task: TaskId, outcome: TaskOutcome) {
        if self.tasks.remove(&task).is_some() {
            self.step(SideEvent::TaskEnded { task, outcome });
        }
    }

    /// Returns the HTTP path of a service, which is read again when the configuration version
    /// changes.
    fn path(&mut self, service: &NodeName) -> Option<Arc<str>> {
        let config = self.parts.core.config();
        let version = config.version();
        if let Some(known) = self.paths.get(service)
            && known.version == version
        {
            return known.path.clone();
        }
        let text = config.get("service", service.as_str());
        let definition = text.and_then(|text| serde_json::from_str::<Service>(&text).ok());
        let path: Option<Arc<str>> = definition.map(|service| service.path.into());
        let known = KnownPath {
            version,
            path: path.clone(),
        };
        self.paths.insert(service.clone(), known);
        path
    }

    /// Dials the listed entries that are not dialed yet.
    fn dial_entries(&mut self, entries: &[String]) {
        for entry in entries {
            if let Ok(address) = entry.parse() {
                self.dial(address);
            }
        }
    }

    fn dial(&mut self, address: SocketAddr) {
        if self.dialed.insert(address) {
            let stats = Arc::clone(&self.parts.stats);
            self.dialing
                .spawn(keep_dialing(self.me.clone(), address, stats));
        }
    }
}
