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

/// What the actor is made of.
pub(super) struct AgentActorParts<P> {
    pub(super) core: TargetAgent,
    pub(super) clock: Clock,
    pub(super) port: P,
    pub(super) stats: Arc<LinkStats>,
    pub(super) drained: watch::Sender<bool>,
    pub(super) first_entries: Vec<SocketAddr>,
    pub(super) profiles: watch::Sender<Option<TargetProfile>>,
}

/// A link as the actor holds it; dropping it closes the link.
struct OpenLink {
    sender: LinkSender<SideReport>,
    _closed: oneshot::Sender<()>,
}

/// A task that keeps a link to an entry.
struct Dialing {
    task: JoinHandle<()>,
    is_known: watch::Sender<bool>,
}

/// Owns the core of a side and carries out its effects.
pub(super) struct AgentActor<P: TargetPort> {
    parts: AgentActorParts<P>,
    me: ActorRef<Self>,
    ticker: Ticker,
    links: HashMap<SessionId, OpenLink>,
    dialing: HashMap<SocketAddr, Dialing>,
    metrics: AgentMetrics,
}

/// One event for the core.
pub(super) struct AgentInput(pub(super) AgentEvent);

/// A link stands.
pub(super) struct AgentLinkUp {
    pub(super) session: SessionId,
    pub(super) sender: LinkSender<SideReport>,
    pub(super) closed: oneshot::Sender<()>,
}

/// Orders that arrived together.
pub(super) struct AgentOrders {
    pub(super) session: SessionId,
    pub(super) orders: Vec<EntryOrder>,
}

/// A link is gone.
pub(super) struct AgentLinkDown {
    pub(super) session: SessionId,
}

/// Asks for all figures as text.
pub(super) struct GetAgentMetrics;

/// Asks for what operators may read.
pub(super) struct GetAgentReport;

/// What operators may read of a side.
#[derive(Clone, Debug, kameo::Reply, serde::Serialize)]
pub struct AgentReport {
    /// Runs that take room.
    pub runs: usize,
    /// Free processor, in thousandths of a core.
    pub free_cpu_millis: u32,
    /// All processor, in thousandths of a core.
    pub capacity_cpu_millis: u32,
    /// Whether the target takes work: 1 if it does.
    pub is_ready: u32,
    /// Whether operators have drained its hall: 1 if they have.
    pub is_hall_drained: u32,
    /// The revision of the weights of halls, 0 for none.
    pub share_revision: u64,
    /// Links to entries.
    pub links: usize,
    /// Jobs that entries have claimed here.
    pub claimed_jobs: usize,
    /// How long entries took to confirm reports.
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
        self.metrics.note_halls(self.parts.core.hall_totals());
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
            confirm_times: *core.confirm_times(),
        }
    }

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
                timeout: limit,
            } => self.order(StartCall {
                run,
                payload,
                hold_until_ms,
                token,
                target,
                timeout: limit,
            }),
            AgentEffect::StopRun {
                run,
                token,
                timeout: limit,
            } => self.stop(StopCall {
                run,
                token,
                timeout: limit,
            }),
            AgentEffect::Probe {
                number,
                hold_until_ms,
                token,
                last_seen,
                wait,
                target,
                timeout: limit,
            } => self.look(
                number,
                ProbeCall {
                    hold_until_ms,
                    token,
                    last_seen,
                    wait,
                    target,
                    timeout: limit,
                },
            ),
            AgentEffect::DialEntries(entries) => self.dial_all(&entries),
            AgentEffect::StoreProfile(profile) => {
                self.parts.profiles.send_replace(Some(profile));
            }
            AgentEffect::Decided(decision) => {
                self.metrics.note(&decision);
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
            debug!(session = session.0; "report not sent: {error}");
            self.links.remove(&session);
        }
    }

    fn order(&self, call: StartCall) {
        let port = self.parts.port.clone();
        let me = self.me.clone();
        tokio::spawn(async move {
            let run = call.run;
            let outcome = port.start(call).await;
            let event = AgentEvent::OrderAnswered { run, outcome };
            let _ = me.tell(AgentInput(event)).await;
        });
    }

    fn stop(&self, call: StopCall) {
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

    fn look(&self, number: u64, call: ProbeCall) {
        let port = self.parts.port.clone();
        let me = self.me.clone();
        tokio::spawn(async move {
            let result = port.probe(call).await;
            let event = AgentEvent::Probed { number, result };
            let _ = me.tell(AgentInput(event)).await;
        });
    }

    /// Dials the known entries; those that are known no more are dialed no more. The addresses
    /// from the settings stay as long as they are all there is.
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
            let share = rand::rng().random_range(0.0..1.0);
            self.dial(entry.address, DialOrder::pause(share));
        }
    }

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
