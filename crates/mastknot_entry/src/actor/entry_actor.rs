use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use log::{debug, info};
use mastknot_core::decision::Decision;
use mastknot_core::entry::{EntryCore, EntryEffect, EntryEvent, RequestId};
use mastknot_core::message::{EntryMessage, PeerMessage, Reply};
use mastknot_core::roster::{MemberId, Roster};
use mastknot_core::types::{Incarnation, NodeName, SubmissionKey, WallTime};
use mastknot_runtime::{Clock, StoreClient, Ticker};
use mastknot_wire::{LinkSender, LinkStats};
use serde_json::{Value, json};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;

use super::messages::{
    Ask, Explain, FromPeer, FromSide, GetItem, GetLive, Input, IssueKeys, Items, LinkDown,
    ListItems, Live, LiveKind, PeerUp, SideUp, Submit,
};
use crate::peers::{Hello, keep_dialing};
use crate::platform::{read_roster, write_roster};

/// Keys that are tried for each that is asked for, at most.
const KEY_TRIES: usize = 1_000;

/// What the tasks around the actor share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    pub(crate) stats: Arc<LinkStats>,
    pub(crate) store: StoreClient,
    /// The configuration version in force, for watchers.
    pub(crate) config_version: watch::Sender<u64>,
    /// Whether a planned stop has come to its end.
    pub(crate) stopped: watch::Sender<bool>,
}

/// What the actor is made of.
pub(crate) struct EntryParts {
    pub(crate) core: EntryCore,
    pub(crate) shared: Arc<Shared>,
    pub(crate) seeds: Vec<SocketAddr>,
}

struct SideLink {
    incarnation: Incarnation,
    link: u64,
    sender: LinkSender<EntryMessage>,
}

struct PeerLink {
    link: u64,
    sender: LinkSender<PeerMessage>,
}

/// The links to one run of a peer: the first that stands is used until it breaks.
struct Peer {
    incarnation: Incarnation,
    links: Vec<PeerLink>,
}

/// An address that is dialed.
struct Dialed {
    /// The run that the roster names there.
    expected: watch::Sender<Option<MemberId>>,
    task: tokio::task::AbortHandle,
}

/// Owns the core of an entry and carries out its effects.
pub(crate) struct EntryActor {
    core: EntryCore,
    shared: Arc<Shared>,
    me: ActorRef<EntryActor>,
    ticker: Ticker,
    sides: HashMap<NodeName, SideLink>,
    peers: HashMap<NodeName, Peer>,
    callers: HashMap<RequestId, oneshot::Sender<Reply>>,
    next_request: RequestId,
    dialed: HashMap<SocketAddr, Dialed>,
    /// Dialing ends with the actor: a set ends its tasks when it is dropped.
    dialing: JoinSet<()>,
    seeds: Vec<SocketAddr>,
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

impl Message<Submit> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, submit: Submit, _: &mut Context<Self, Self::Reply>) {
        self.forget_gone_callers();
        let request = self.next_request;
        self.next_request += 1;
        self.callers.insert(request, submit.reply);
        let ask = submit.ask;
        self.step(EntryEvent::Caller { request, ask });
    }
}

impl Message<SideUp> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, up: SideUp, _: &mut Context<Self, Self::Reply>) {
        let side = up.hello.side.clone();
        let incarnation = up.hello.incarnation;
        if self
            .sides
            .get(&side)
            .is_some_and(|link| link.incarnation > incarnation)
        {
            return;
        }
        info!(side = side.as_str(), hall = up.hello.hall.as_str(); "side joined");
        if let Some(old) = self.sides.remove(&side) {
            let incarnation = old.incarnation;
            let side = side.clone();
            self.step(EntryEvent::SideLost { side, incarnation });
        }
        let link = SideLink {
            incarnation,
            link: up.link,
            sender: up.sender,
        };
        self.sides.insert(side.clone(), link);
        let message = mastknot_core::message::SideMessage::Hello(up.hello);
        self.step(EntryEvent::FromSide {
            side,
            incarnation,
            message,
        });
    }
}

impl Message<PeerUp> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, up: PeerUp, _: &mut Context<Self, Self::Reply>) {
        let id = up.member.id.clone();
        if id.name == self.core.membership().me().id.name {
            return;
        }
        let peer = self.peers.entry(id.name.clone()).or_insert_with(|| Peer {
            incarnation: id.incarnation,
            links: Vec::new(),
        });
        if peer.incarnation > id.incarnation {
            return;
        }
        if peer.incarnation < id.incarnation {
            peer.incarnation = id.incarnation;
            peer.links.clear();
        }
        peer.links.push(PeerLink {
            link: up.link,
            sender: up.sender,
        });
        info!(peer = id.name.as_str(); "peer joined");
        let message = PeerMessage::Hello {
            member: up.member,
            roster_version: up.roster_version,
            config_version: up.config_version,
        };
        self.step(EntryEvent::FromPeer { peer: id, message });
    }
}

impl Message<FromSide> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, from: FromSide, _: &mut Context<Self, Self::Reply>) {
        for message in from.messages {
            self.step(EntryEvent::FromSide {
                side: from.side.clone(),
                incarnation: from.incarnation,
                message,
            });
        }
    }
}

impl Message<FromPeer> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, from: FromPeer, _: &mut Context<Self, Self::Reply>) {
        for message in from.messages {
            let peer = from.peer.clone();
            self.step(EntryEvent::FromPeer { peer, message });
        }
    }
}

impl Message<LinkDown> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, down: LinkDown, _: &mut Context<Self, Self::Reply>) {
        match down {
            LinkDown::Side {
                side,
                incarnation,
                link,
            } => {
                let is_current = self.sides.get(&side).is_some_and(|held| held.link == link);
                if is_current {
                    info!(side = side.as_str(); "side lost");
                    self.sides.remove(&side);
                    self.step(EntryEvent::SideLost { side, incarnation });
                }
            }
            LinkDown::Peer { peer, link } => self.peer_link_down(peer, link),
        }
    }
}

impl Message<Ask> for EntryActor {
    type Reply = Hello;

    async fn handle(&mut self, _: Ask, _: &mut Context<Self, Self::Reply>) -> Hello {
        Hello {
            member: self.core.membership().me().clone(),
            roster_version: self.core.membership().version(),
            config_version: self.core.config().version(),
            entries: self.entry_addresses(),
        }
    }
}

impl Message<GetLive> for EntryActor {
    type Reply = Live;

    async fn handle(&mut self, get: GetLive, _: &mut Context<Self, Self::Reply>) -> Live {
        Live(match get.0 {
            LiveKind::Jobs => to_json(&self.core.live_submissions()),
            LiveKind::Targets => {
                let now = self.shared.clock.monotonic();
                to_json(&self.core.side_status(now))
            }
            LiveKind::Entries => self.entries_json(),
            LiveKind::Decisions { after } => {
                let oldest = self.core.decisions().oldest();
                let records = self.core.decisions().since(after).map(decision_json);
                json!({ "oldest": oldest, "decisions": records.collect::<Vec<_>>() })
            }
            LiveKind::Status => to_json(&self.core.config_status()),
            LiveKind::Counters => self.counters_json(),
        })
    }
}

impl Message<IssueKeys> for EntryActor {
    type Reply = Live;

    async fn handle(&mut self, issue: IssueKeys, _: &mut Context<Self, Self::Reply>) -> Live {
        let wall = self.shared.clock.now().wall;
        let membership = self.core.membership();
        // Each try hits with one in as many as there are entries; the bound is far beyond that.
        let tries = issue.0 * KEY_TRIES;
        let keys = std::iter::repeat_with(|| SubmissionKey::new(wall, rand::random()))
            .take(tries)
            .filter(|key| membership.holds(*key))
            .take(issue.0);
        Live(keys.map(|key| json!(key.to_string())).collect())
    }
}

impl Message<Explain> for EntryActor {
    type Reply = Live;

    async fn handle(&mut self, explain: Explain, _: &mut Context<Self, Self::Reply>) -> Live {
        let records = self.core.decisions().of(explain.0).map(decision_json);
        Live(Value::Array(records.collect()))
    }
}

impl Message<GetItem> for EntryActor {
    type Reply = Items;

    async fn handle(&mut self, get: GetItem, _: &mut Context<Self, Self::Reply>) -> Items {
        Items {
            version: self.core.config().version(),
            items: self
                .core
                .config()
                .item(&get.0)
                .into_iter()
                .cloned()
                .collect(),
        }
    }
}

impl Message<ListItems> for EntryActor {
    type Reply = Items;

    async fn handle(&mut self, list: ListItems, _: &mut Context<Self, Self::Reply>) -> Items {
        let delta = self.core.config().delta_since(list.after);
        let of_kind = |item: &mastknot_core::message::ConfigItem| {
            list.kind == "all" || *item.resource.kind == *list.kind
        };
        Items {
            version: delta.version,
            items: delta.items.into_iter().filter(of_kind).collect(),
        }
    }
}

impl EntryActor {
    fn step(&mut self, event: EntryEvent) {
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
            EntryEffect::Reply { request, reply } => {
                if let Some(caller) = self.callers.remove(&request) {
                    // A caller that hung up finds its answer when it asks again.
                    let _ = caller.send(reply);
                }
            }
            EntryEffect::ToSide { side, message } => {
                if let Some(link) = self.sides.get(&side)
                    && let Err(error) = link.sender.send(message)
                {
                    debug!(side = side.as_str(); "message not sent: {error}");
                }
            }
            EntryEffect::ToPeer { peer, message } => self.send_to_peer(&peer, message),
            EntryEffect::ReadRoster => {
                let sent_at = self.shared.clock.monotonic();
                let read = read_roster(self.shared.clone(), self.me.clone(), sent_at);
                tokio::spawn(read);
            }
            EntryEffect::WriteRoster(write) => {
                tokio::spawn(write_roster(self.shared.clone(), self.me.clone(), write));
            }
            EntryEffect::RosterAdopted(roster) => self.roster_adopted(&roster),
            EntryEffect::ConfigAdvanced { version } => {
                info!(version; "configuration in force");
                self.shared.config_version.send_replace(version);
            }
            EntryEffect::Stopped => {
                self.shared.stopped.send_replace(true);
            }
        }
    }

    fn send_to_peer(&mut self, peer: &NodeName, message: PeerMessage) {
        let Some(held) = self.peers.get(peer) else {
            return;
        };
        let Some(link) = held.links.first() else {
            return;
        };
        if let Err(error) = link.sender.send(message) {
            debug!(peer = peer.as_str(); "message not sent: {error}");
        }
    }

    fn peer_link_down(&mut self, peer: MemberId, link: u64) {
        let Some(held) = self.peers.get_mut(&peer.name) else {
            return;
        };
        if held.incarnation != peer.incarnation {
            return;
        }
        held.links.retain(|other| other.link != link);
        if held.links.is_empty() {
            info!(peer = peer.name.as_str(); "peer lost");
            self.peers.remove(&peer.name);
            self.step(EntryEvent::PeerLost { peer });
        }
    }

    fn roster_adopted(&mut self, roster: &Roster) {
        let names: Vec<&str> = roster.member_ids().map(|id| id.name.as_str()).collect();
        info!(version = roster.version, members:? = names; "roster in force");
        let me = self.core.membership().me().id.clone();
        let mut wanted: Vec<SocketAddr> = self.seeds.clone();
        for member in roster.members.iter().filter(|member| member.id != me) {
            if let Ok(address) = member.address.parse() {
                wanted.push(address);
                self.dial(address, Some(member.id.clone()));
            }
        }
        self.dialed.retain(|address, dialed| {
            let is_wanted = wanted.contains(address);
            if !is_wanted {
                dialed.task.abort();
            }
            is_wanted
        });
        let welcome = EntryMessage::Welcome {
            entry: me.name,
            incarnation: me.incarnation,
            entries: self.entry_addresses(),
        };
        for link in self.sides.values() {
            let _ = link.sender.send(welcome.clone());
        }
    }

    fn dial(&mut self, address: SocketAddr, expected: Option<MemberId>) {
        if let Some(dialed) = self.dialed.get(&address) {
            dialed.expected.send_replace(expected);
            return;
        }
        let (expected, expects) = watch::channel(expected);
        let me = self.me.clone();
        let stats = Arc::clone(&self.shared.stats);
        let dialing = keep_dialing(me, address, expects, stats);
        let task = self.dialing.spawn(dialing);
        self.dialed.insert(address, Dialed { expected, task });
    }

    fn entry_addresses(&self) -> Vec<String> {
        let me = self.core.membership().me();
        let members = self
            .core
            .membership()
            .roster()
            .map(|roster| &roster.members);
        let mut addresses: Vec<String> = members
            .into_iter()
            .flatten()
            .map(|member| member.address.clone())
            .collect();
        if !addresses.contains(&me.address) {
            addresses.push(me.address.clone());
        }
        addresses
    }

    /// Tells the core of callers that hung up, a few at a time.
    fn forget_gone_callers(&mut self) {
        const EVERY: u64 = 256;
        if !self.next_request.is_multiple_of(EVERY) {
            return;
        }
        let gone: Vec<RequestId> = self
            .callers
            .iter()
            .filter(|(_, caller)| caller.is_closed())
            .map(|(request, _)| *request)
            .collect();
        for request in gone {
            self.callers.remove(&request);
            self.step(EntryEvent::CallerGone { request });
        }
    }

    fn entries_json(&self) -> Value {
        let membership = self.core.membership();
        let me = &membership.me().id;
        let members = membership.roster().map(|roster| &roster.members);
        let entries = members.into_iter().flatten().map(|member| {
            json!({
                "name": member.id.name,
                "incarnation": member.id.incarnation,
                "hall": member.hall,
                "address": member.address,
                "is_connected": member.id == *me || membership.is_connected(&member.id.name),
                "is_self": member.id == *me,
            })
        });
        let now = self.shared.clock.monotonic();
        json!({
            "version": membership.version(),
            "is_fresh": membership.is_fresh(now),
            "is_proposing": membership.is_proposing(),
            "entries": entries.collect::<Vec<_>>(),
        })
    }

    fn counters_json(&self) -> Value {
        let links: serde_json::Map<String, Value> = self
            .shared
            .stats
            .counters()
            .into_iter()
            .map(|(name, count)| (name, json!(count)))
            .collect();
        let dispatcher = self.core.dispatcher();
        json!({
            "entry": self.core.counters(),
            "dispatch": self.core.dispatch_counters(),
            "store": self.shared.store.calls().to_json(),
            "links": links,
            "now": {
                "waiting": dispatcher.waiting(),
                "running": dispatcher.running(),
                "idle_credits": dispatcher.idle_credits(),
                "active": dispatcher.active(),
                "ledger_records": self.core.ledger().len(),
                "ledger_answer_bytes": self.core.ledger().answer_bytes(),
                "ledger_evicted": self.core.ledger().evicted(),
                "config_older_ignored": self.core.config().older_ignored(),
                "sides": self.sides.len(),
                "peers": self.peers.len(),
            },
        })
    }
}

fn to_json<T: serde::Serialize>(value: &T) -> Value {
    serde_json::to_value(value).unwrap_or(Value::Null)
}

fn decision_json(record: &(u64, WallTime, Decision)) -> Value {
    let (id, at, decision) = record;
    let mut value = to_json(decision);
    value["id"] = json!(id);
    value["at_ms"] = json!(at.as_millis());
    value
}
