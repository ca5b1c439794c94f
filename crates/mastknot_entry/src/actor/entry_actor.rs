use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use log::info;
use mastknot_core::entry::{EntryCore, EntryEffect, EntryEvent, RequestId};
use mastknot_core::message::Reply;
use mastknot_core::types::NodeName;
use mastknot_runtime::{Clock, StoreClient, Ticker};
use mastknot_wire::LinkStats;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;

use super::links::{Peer, SideLink};
use super::members::Dialed;
use super::messages::Input;
use crate::platform::{read_roster, write_roster};

/// State that the actor shares with the entry's other tasks.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    pub(crate) stats: Arc<LinkStats>,
    pub(crate) store: StoreClient,
    /// Configuration version in force, for the tasks that serve watches.
    pub(crate) config_version: watch::Sender<u64>,
    /// Whether the core has finished a planned stop.
    pub(crate) stopped: watch::Sender<bool>,
}

/// Parts from which the actor is started.
pub(crate) struct EntryParts {
    pub(crate) core: EntryCore,
    pub(crate) shared: Arc<Shared>,
    pub(crate) seeds: Vec<SocketAddr>,
}

/// Actor that owns the core of an entry and carries out the core's effects.
pub(crate) struct EntryActor {
    pub(super) core: EntryCore,
    pub(super) shared: Arc<Shared>,
    pub(super) me: ActorRef<EntryActor>,
    pub(super) ticker: Ticker,
    pub(super) sides: HashMap<NodeName, SideLink>,
    pub(super) peers: HashMap<NodeName, Peer>,
    pub(super) callers: HashMap<RequestId, oneshot::Sender<Reply>>,
    pub(super) next_request: RequestId,
    pub(super) dialed: HashMap<SocketAddr, Dialed>,
    /// Tasks that dial entries. They end with the actor, because a `JoinSet` aborts its tasks when
    /// it is dropped.
    pub(super) dialing: JoinSet<()>,
    pub(super) seeds: Vec<SocketAddr>,
}

impl Actor for EntryActor {
    type Args = EntryParts;
    type Error = std::convert::Infallible;

    async fn on_start(parts: Self::Args, me: ActorRef<Self>) -> Result<Self, Self::Error> {
        let ticked = me.clone();
        let ticker = Ticker::start(parts.shared.clock, move || {
            let ticked = ticked.clone();
            async move {
                let _ = ticked.tell(Input(EntryEvent::Tick)).await;
            }
        });
        let mut actor = Self {
            core: parts.core,
            shared: parts.shared,
            me,
            ticker,
            sides: HashMap::new(),
            peers: HashMap::new(),
            callers: HashMap::new(),
            next_request: 1,
            dialed: HashMap::new(),
            dialing: JoinSet::new(),
            seeds: parts.seeds,
        };
        for address in actor.seeds.clone() {
            actor.dial(address, None);
        }
        actor.step(EntryEvent::Tick);
        Ok(actor)
    }
}

impl Message<Input> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, input: Input, _: &mut Context<Self, Self::Reply>) {
        self.step(input.0);
    }
}

impl EntryActor {
    /// Passes an event to the core, carries out the effects and sets the next tick.
    pub(super) fn step(&mut self, event: EntryEvent) {
        let now = self.shared.clock.now();
        let effects = self.core.step(now, event);
        for effect in effects {
            self.carry_out(effect);
        }
        let due = self.core.next_tick(self.shared.clock.monotonic());
        self.ticker.set(Some(due));
    }

    fn carry_out(&mut self, effect: EntryEffect) {
        match effect {
            EntryEffect::Reply { request, reply } => self.reply_to_caller(request, reply),
            EntryEffect::ToSide { side, message } => self.send_to_side(&side, message),
            EntryEffect::ToPeer { peer, message } => self.send_to_peer(&peer, message),
            EntryEffect::ReadRoster => {
                let sent_at = self.shared.clock.monotonic();
                let read = read_roster(self.shared.clone(), self.me.clone(), sent_at);
                tokio::spawn(read);
            }
            EntryEffect::WriteRoster(write) => {
                tokio::spawn(write_roster(self.shared.clone(), self.me.clone(), write));
            }
            EntryEffect::RosterAdopted(roster) => self.apply_roster(&roster),
            EntryEffect::ConfigAdvanced { version } => {
                info!(version; "configuration in force");
                self.shared.config_version.send_replace(version);
            }
            EntryEffect::Stopped => {
                self.shared.stopped.send_replace(true);
            }
        }
    }
}
