use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use log::debug;
use mastknot_core::agent::{
    AgentEffect, AgentEvent, ConfirmTimes, DialOrder, SessionId, TargetAgent,
};
use mastknot_core::job::{
    Capacity, EntryOrder, KnownEntry, SideReport, TargetCondition, TargetProfile,
};
use mastknot_runtime::{Clock, Ticker, counters_text};
use mastknot_wire::{LinkSender, LinkStats};
use rand::RngExt;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;

use super::agent_dialing::keep_dialing;
use super::agent_logs::log_decision;
use super::agent_metrics::AgentMetrics;
use super::{ProbeCall, StartCall, StopCall, TargetPort};

/// Parts from which the actor is started.
pub(super) struct AgentActorParts<P> {
    pub(super) core: TargetAgent,
    pub(super) clock: Clock,
    pub(super) port: P,
    pub(super) stats: Arc<LinkStats>,
    pub(super) drained: watch::Sender<bool>,
    pub(super) first_entries: Vec<SocketAddr>,
    pub(super) profiles: watch::Sender<Option<TargetProfile>>,
}

/// An open link to an entry; dropping the value closes the link.
struct OpenLink {
    sender: LinkSender<SideReport>,
    _closed: oneshot::Sender<()>,
}

/// A task that dials an entry and serves its link.
struct Dialing {
    task: JoinHandle<()>,
    /// Whether the entry is still known; the task stops dialing once this is false.
    is_known: watch::Sender<bool>,
}

/// Actor that owns the core of a side and carries out the core's effects.
pub(super) struct AgentActor<P: TargetPort> {
    parts: AgentActorParts<P>,
    me: ActorRef<Self>,
    ticker: Ticker,
    links: HashMap<SessionId, OpenLink>,
    dialing: HashMap<SocketAddr, Dialing>,
    metrics: AgentMetrics,
}

/// Message with one event for the core.
pub(super) struct AgentInput(pub(super) AgentEvent);

/// Message that a link to an entry is open.
pub(super) struct AgentLinkUp {
    pub(super) session: SessionId,
    pub(super) sender: LinkSender<SideReport>,
    pub(super) closed: oneshot::Sender<()>,
}

/// Message with orders of an entry that arrived together.
pub(super) struct AgentOrders {
    pub(super) session: SessionId,
    pub(super) orders: Vec<EntryOrder>,
}

/// Message that a link has closed.
pub(super) struct AgentLinkDown {
    pub(super) session: SessionId,
}

/// Request for all metrics in the Prometheus text format.
pub(super) struct GetAgentMetrics;

/// Request for the side's [`AgentReport`].
pub(super) struct GetAgentReport;

/// Figures of a side that operators read.
#[derive(Clone, Debug, kameo::Reply, serde::Serialize)]
pub struct AgentReport {
    /// Number of runs that take capacity.
    pub runs: usize,
    /// Free processor capacity, in thousandths of a core.
    pub free_cpu_millis: u32,
    /// Total processor capacity of the target, in thousandths of a core.
    pub capacity_cpu_millis: u32,
    /// 1 if the target accepts work, 0 otherwise.
    pub is_ready: u32,
    /// 1 if operators have drained the side's hall, 0 otherwise.
    pub is_hall_drained: u32,
    /// Revision of the weights of halls; 0 if there are none.
    pub share_revision: u64,
    /// Number of links to entries.
    pub links: usize,
    /// Number of jobs that entries have claimed at this side.
    pub claimed_jobs: usize,
    /// Number of cancelled jobs of which a request may still be in transit.
    pub cancelled_jobs: usize,
    /// Number of cancelled jobs that were forgotten too early, because too many were cancelled.
    pub cancelled_jobs_dropped: u64,
    /// Times that entries took to confirm reports.
    pub confirm_times: ConfirmTimes,
}

impl<P: TargetPort> Actor for AgentActor<P> {
    type Args = AgentActorParts<P>;
    type Error = std::convert::Infallible;

    async fn on_start(parts: Self::Args, me: ActorRef<Self>) -> Result<Self, Self::Error> {
        let ticked = me.clone();
        let ticker = Ticker::start(parts.clock, move || {
            let ticked = ticked.clone();
            async move {
                let _ = ticked.tell(AgentInput(AgentEvent::Tick)).await;
            }
        });
        let first = parts.first_entries.clone();
        let mut actor = Self {
            parts,
            me,
            ticker,
            links: HashMap::new(),
            dialing: HashMap::new(),
            metrics: AgentMetrics::new(),
        };
        for address in first {
            actor.dial(address, Duration::ZERO);
        }
        actor.step(AgentEvent::Tick);
        Ok(actor)
    }
}

impl<P: TargetPort> Drop for AgentActor<P> {
    fn drop(&mut self) {
        self.dialing
            .values()
            .for_each(|dialing| dialing.task.abort());
    }
}

impl<P: TargetPort> Message<AgentInput> for AgentActor<P> {
    type Reply = ();

    async fn handle(&mut self, input: AgentInput, _: &mut Context<Self, Self::Reply>) {
        self.step(input.0);
    }
}

impl<P: TargetPort> Message<AgentLinkUp> for AgentActor<P> {
    type Reply = ();

    async fn handle(&mut self, up: AgentLinkUp, _: &mut Context<Self, Self::Reply>) {
        let link = OpenLink {
            sender: up.sender,
            _closed: up.closed,
        };
        self.links.insert(up.session, link);
        let session = up.session;
        self.step(AgentEvent::LinkUp { session });
    }
}

impl<P: TargetPort> Message<AgentOrders> for AgentActor<P> {
    type Reply = ();

    async fn handle(&mut self, input: AgentOrders, _: &mut Context<Self, Self::Reply>) {
        if !self.links.contains_key(&input.session) {
            return;
        }
        let AgentOrders { session, orders } = input;
        self.step(AgentEvent::FromEntry { session, orders });
    }
}

impl<P: TargetPort> Message<AgentLinkDown> for AgentActor<P> {
    type Reply = ();

    async fn handle(&mut self, down: AgentLinkDown, _: &mut Context<Self, Self::Reply>) {
        let session = down.session;
        self.links.remove(&session);
        self.step(AgentEvent::LinkDown { session });
    }
}

impl<P: TargetPort> Message<GetAgentReport> for AgentActor<P> {
    type Reply = AgentReport;

    async fn handle(
        &mut self,
        _: GetAgentReport,
        _: &mut Context<Self, Self::Reply>,
    ) -> AgentReport {
        self.report()
    }
}

impl<P: TargetPort> Message<GetAgentMetrics> for AgentActor<P> {
    type Reply = String;

    async fn handle(&mut self, _: GetAgentMetrics, _: &mut Context<Self, Self::Reply>) -> String {
        self.metrics.record_halls(self.parts.core.hall_totals());
        counters_text(&self.report()) + &self.metrics.text()
    }
}

impl<P: TargetPort> AgentActor<P> {
    fn report(&self) -> AgentReport {
        let core = &self.parts.core;
        let is_ready = core.condition() == TargetCondition::Ready;
        AgentReport {
            runs: core.runs().len(),
            free_cpu_millis: core.free_capacity().cpu_millis,
            capacity_cpu_millis: core
                .target()
                .map_or(Capacity::default(), |t| t.capacity)
                .cpu_millis,
            is_ready: u32::from(is_ready),
            is_hall_drained: u32::from(core.is_hall_drained()),
            share_revision: core.share_weights().revision,
            links: self.links.len(),
            claimed_jobs: core.claimed_jobs(),
            cancelled_jobs: core.cancelled_jobs(),
            cancelled_jobs_dropped: core.cancelled_jobs_dropped(),
            confirm_times: *core.confirm_times(),
        }
    }

    /// Passes an event to the core, carries out the effects and sets the next tick.
    fn step(&mut self, event: AgentEvent) {
        let now = self.parts.clock.monotonic();
        let effects = self.parts.core.step(now, event);
        for effect in effects {
            self.carry_out(effect);
        }
        self.ticker.set(self.parts.core.next_tick());
    }

    fn carry_out(&mut self, effect: AgentEffect) {
        match effect {
            AgentEffect::Send { session, report } => self.send(session, report),
            AgentEffect::Close { session } => {
                self.links.remove(&session);
            }
            AgentEffect::Order {
                run,
                payload,
                hold_until_ms,
                token,
                target,
                timeout,
            } => self.start_run(StartCall {
                run,
                payload,
                hold_until_ms,
                token,
                target,
                timeout,
            }),
            AgentEffect::StopRun {
                run,
                token,
                timeout,
            } => self.stop_run(StopCall {
                run,
                token,
                timeout,
            }),
            AgentEffect::Probe {
                number,
                hold_until_ms,
                token,
                last_seen,
                wait,
                target,
                timeout,
            } => self.probe(
                number,
                ProbeCall {
                    hold_until_ms,
                    token,
                    last_seen,
                    wait,
                    target,
                    timeout,
                },
            ),
            AgentEffect::DialEntries(entries) => self.dial_all(&entries),
            AgentEffect::StoreProfile(profile) => {
                self.parts.profiles.send_replace(Some(profile));
            }
            AgentEffect::Decided(decision) => {
                self.metrics.record(&decision);
                log_decision(&decision);
            }
            AgentEffect::Drained => {
                self.parts.drained.send_replace(true);
            }
        }
    }

    fn send(&mut self, session: SessionId, report: SideReport) {
        let Some(link) = self.links.get(&session) else {
            return;
        };
        if let Err(error) = link.sender.send(report) {
            debug!(session = session.0; "report to an entry not sent: {error}");
            self.links.remove(&session);
        }
    }

    fn start_run(&self, call: StartCall) {
        let port = self.parts.port.clone();
        let me = self.me.clone();
        tokio::spawn(async move {
            let run = call.run;
            let outcome = port.start(call).await;
            let event = AgentEvent::OrderAnswered { run, outcome };
            let _ = me.tell(AgentInput(event)).await;
        });
    }

    fn stop_run(&self, call: StopCall) {
        let port = self.parts.port.clone();
        let me = self.me.clone();
        tokio::spawn(async move {
            let run = call.run;
            let is_acknowledged = port.stop(call).await;
            let event = AgentEvent::StopAnswered {
                run,
                is_acknowledged,
            };
            let _ = me.tell(AgentInput(event)).await;
        });
    }

    fn probe(&self, number: u64, call: ProbeCall) {
        let port = self.parts.port.clone();
        let me = self.me.clone();
        tokio::spawn(async move {
            let result = port.probe(call).await;
            let event = AgentEvent::Probed { number, result };
            let _ = me.tell(AgentInput(event)).await;
        });
    }

    /// Dials the known entries and stops dialing entries that are no longer known.
    ///
    /// The addresses of the settings are dialed until the first entries are known.
    fn dial_all(&mut self, entries: &[KnownEntry]) {
        let known: BTreeSet<SocketAddr> = entries.iter().map(|entry| entry.address).collect();
        for (address, dialing) in &self.dialing {
            dialing.is_known.send_replace(known.contains(address));
        }
        self.dialing
            .retain(|_, dialing| !dialing.task.is_finished());
        let order = DialOrder::new(self.parts.core.side(), entries);
        for entry in order.at_once {
            self.dial(entry.address, Duration::ZERO);
        }
        for entry in order.later {
            let fraction = rand::rng().random_range(0.0..1.0);
            self.dial(entry.address, DialOrder::pause(fraction));
        }
    }

    /// Starts the task that keeps a link to an entry, unless the task exists.
    fn dial(&mut self, address: SocketAddr, first_pause: Duration) {
        if self.dialing.contains_key(&address) {
            return;
        }
        let stats = Arc::clone(&self.parts.stats);
        let (is_known, known) = watch::channel(true);
        let task = tokio::spawn(keep_dialing(
            self.me.clone(),
            self.parts.clock,
            address,
            stats,
            known,
            first_pause,
        ));
        self.dialing.insert(address, Dialing { task, is_known });
    }
}
