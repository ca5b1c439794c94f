use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use super::rebuild::Rebuild;
use super::{ConfigStatus, EntryCounters, EntryEffect, EntryEvent, EntrySettings, RequestId};
use crate::config::{ConfigReplica, Profile, Service, Team};
use crate::decision::DecisionLog;
use crate::dispatch::{
    DispatchCounters, DispatchEffect, Dispatcher, SideStatus, SubmissionOutcome,
};
use crate::message::{PeerMessage, Reply, SubmissionAnswer};
use crate::roster::{Membership, MembershipEffect, Roster};
use crate::submission::Ledger;
use crate::types::{Incarnation, Moment, NodeName, Now, SubmissionKey};

/// Recipient of the answer to a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Waiter {
    /// A caller of this entry.
    Caller(RequestId),
    /// A peer that forwarded the submission or queried its key.
    Peer { peer: NodeName, request: u64 },
}

/// State of a connected side, apart from its credits.
#[derive(Clone, Debug)]
pub(super) struct SideLink {
    pub(super) incarnation: Incarnation,
    pub(super) config_version: u64,
    pub(super) config_sent_at: Option<Moment>,
}

/// A submission without an answer, as reported to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LiveSubmission {
    /// Key of the submission.
    pub key: String,
    /// Number of answered tasks.
    pub done: u16,
    /// Total number of tasks.
    pub count: u16,
}

/// A safety check to disable, so that tests can show that they detect its absence.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisabledCheck {
    /// Recognition of resubmitted keys.
    Resubmission,
    /// Query to the earlier owners of a key before it is accepted.
    EarlierOwners,
}

/// The core of an entry process.
///
/// Combines the roster, the ledger, the dispatcher and the configuration. All decisions of an entry
/// are made in [`EntryCore::step`].
#[derive(Clone, Debug)]
pub struct EntryCore {
    pub(super) settings: EntrySettings,
    pub(super) membership: Membership,
    pub(super) ledger: Ledger,
    pub(super) dispatcher: Dispatcher,
    pub(super) config: ConfigReplica,
    pub(super) decisions: DecisionLog,
    pub(super) counters: EntryCounters,
    /// Recipients of the answer, for each submission that has no answer yet.
    pub(super) waiters: HashMap<SubmissionKey, Vec<Waiter>>,
    /// Requests forwarded to peers, by request id.
    pub(super) forwards: HashMap<u64, super::callers::Forwarded>,
    /// Open queries to earlier owners, by request id.
    pub(super) key_queries: HashMap<u64, super::callers::KeyQuery>,
    pub(super) rebuilds: HashMap<SubmissionKey, Rebuild>,
    pub(super) sides: BTreeMap<NodeName, SideLink>,
    /// Configuration version in force on each peer, as last reported.
    pub(super) peer_config_versions: BTreeMap<NodeName, u64>,
    /// Running tasks by team on each peer, as last reported.
    pub(super) team_use: BTreeMap<NodeName, Vec<(NodeName, u32)>>,
    pub(super) team_quotas: BTreeMap<NodeName, u32>,
    /// Running tasks by team in the latest update sent to peers.
    pub(super) team_use_sent: Vec<(NodeName, u32)>,
    pub(super) config_changed_at: Moment,
    pub(super) gossip_at: Moment,
    pub(super) next_id: u64,
    pub(super) is_stopping: bool,
    pub(super) has_stopped: bool,
    pub(super) disabled_check: Option<DisabledCheck>,
}

impl EntryCore {
    /// Returns an entry that knows no peers and no sides yet.
    pub fn new(settings: EntrySettings) -> Self {
        let hall = settings.me.hall.clone();
        Self {
            membership: Membership::new(settings.me.clone(), settings.membership),
            ledger: Ledger::new(settings.ledger),
            dispatcher: Dispatcher::new(hall, settings.profile.clone(), settings.max_waiting)
                .job_order(settings.job_order),
            config: ConfigReplica::default(),
            decisions: DecisionLog::new(settings.decisions),
            counters: EntryCounters::default(),
            waiters: HashMap::new(),
            forwards: HashMap::new(),
            key_queries: HashMap::new(),
            rebuilds: HashMap::new(),
            sides: BTreeMap::new(),
            peer_config_versions: BTreeMap::new(),
            team_use: BTreeMap::new(),
            team_quotas: BTreeMap::new(),
            team_use_sent: Vec::new(),
            config_changed_at: Moment::default(),
            gossip_at: Moment::default(),
            next_id: 1,
            is_stopping: false,
            has_stopped: false,
            disabled_check: None,
            settings,
        }
    }

    /// Returns the counters of the entry.
    pub fn counters(&self) -> &EntryCounters {
        &self.counters
    }

    /// Returns the counters of the dispatcher.
    pub fn dispatch_counters(&self) -> DispatchCounters {
        self.dispatcher.counters()
    }

    /// Returns the dispatcher.
    pub fn dispatcher(&self) -> &Dispatcher {
        &self.dispatcher
    }

    /// Returns the ledger.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the membership.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Disables a safety check.
    ///
    /// > **Caution:** only for tests that verify that the missing check is detected.
    #[doc(hidden)]
    pub fn disable_check(&mut self, disabled_check: DisabledCheck) {
        self.disabled_check = Some(disabled_check);
    }

    /// Returns the log of the latest decisions.
    pub fn decisions(&self) -> &DecisionLog {
        &self.decisions
    }

    /// Returns the replica of the configuration.
    pub fn config(&self) -> &ConfigReplica {
        &self.config
    }

    /// Returns the status of each side as reported to operators.
    pub fn side_status(&self, now: Moment) -> Vec<SideStatus> {
        self.dispatcher.side_status(now)
    }

    /// Returns the submissions without an answer.
    pub fn live_submissions(&self) -> Vec<LiveSubmission> {
        let live = |key: &SubmissionKey| {
            let (done, count) = self.dispatcher.progress(*key)?;
            Some(LiveSubmission {
                key: key.to_string(),
                done,
                count,
            })
        };
        self.waiters.keys().filter_map(live).collect()
    }

    /// Returns the rollout status of the current configuration version.
    pub fn config_status(&self) -> ConfigStatus {
        let version = self.config.version();
        let sides_at = self.sides.values().filter(|s| s.config_version >= version);
        let me = &self.settings.me.id;
        let members = self.membership.roster().map(|roster| &roster.members[..]);
        let peers = members.unwrap_or_default().iter().filter(|m| m.id != *me);
        let peer_at = |name: &NodeName| self.peer_config_versions.get(name) >= Some(&version);
        let peers_at = peers.clone().filter(|m| peer_at(&m.id.name)).count();
        ConfigStatus {
            version,
            nodes_in_force: 1 + peers_at as u32 + sides_at.count() as u32,
            nodes: 1 + peers.count() as u32 + self.sides.len() as u32,
        }
    }

    /// Returns the time at which [`EntryEvent::Tick`] is due next.
    pub fn next_tick(&self, now: Moment) -> Moment {
        let membership = self.membership.next_tick(now);
        let dispatch = self.dispatcher.next_tick(now);
        let rebuild = self
            .rebuilds
            .values()
            .map(|rebuild| rebuild.expires_at)
            .min();
        [dispatch, rebuild]
            .into_iter()
            .flatten()
            .fold(membership, Moment::min)
    }

    /// Handles one event and returns the resulting effects.
    pub fn step(&mut self, now: Now, event: EntryEvent) -> Vec<EntryEffect> {
        let mut out = Vec::new();
        match event {
            EntryEvent::FromCaller { request, ask } => {
                self.on_caller_request(now, request, ask, &mut out)
            }
            EntryEvent::CallerGone { request } => self.on_caller_gone(request),
            EntryEvent::FromSide {
                side,
                incarnation,
                message,
            } => self.on_side_message(now, side, incarnation, message, &mut out),
            EntryEvent::SideLost { side, incarnation } => {
                self.side_lost(now, &side, incarnation, &mut out);
            }
            EntryEvent::FromPeer { peer, message } => {
                self.on_peer_message(now, &peer, message, &mut out);
            }
            EntryEvent::PeerLost { peer } => self.peer_lost(now, &peer, &mut out),
            EntryEvent::PeerDead { peer } => {
                self.with_membership(now, &mut out, |m, e| m.peer_dead(now, &peer, e));
            }
            EntryEvent::RosterRead { sent_at, found } => {
                self.with_membership(now, &mut out, |m, e| m.roster_read(now, sent_at, found, e));
            }
            EntryEvent::RosterReadFailed => {
                self.with_membership(now, &mut out, |m, e| m.roster_read_failed(now, e));
            }
            EntryEvent::RosterWritten { written } => {
                self.with_membership(now, &mut out, |m, e| m.roster_written(now, written, e));
            }
            EntryEvent::Config(delta) => self.apply_config(now, &delta, &mut out),
            EntryEvent::VmGone { vm } => self.vm_gone(now, &vm, &mut out),
            EntryEvent::DrainSide { side } => {
                self.dispatcher.side_leaving(now.monotonic, &side);
                let message = crate::message::EntryMessage::Drain;
                out.push(EntryEffect::ToSide { side, message });
            }
            EntryEvent::Stop => self.stop(now, &mut out),
            EntryEvent::Tick => self.tick(now, &mut out),
        }
        self.check_stopped(now, &mut out);
        out
    }

    fn tick(&mut self, now: Now, out: &mut Vec<EntryEffect>) {
        self.with_membership(now, out, |m, e| m.tick(now, e));
        self.with_dispatcher(now, out, |d, e| d.tick(now.monotonic, e));
        self.ledger.trim(now.wall);
        self.end_due_rebuilds(now, out);
        self.expire_requests(now, out);
        self.gossip(now, out);
    }

    /// Handles a VM that is missing from the platform's list. The list lags, so it does not
    /// override a working link: a side gets no new tasks but may finish the running ones, and an
    /// entry counts as dead only if it is silent as well.
    fn vm_gone(&mut self, now: Now, vm: &NodeName, out: &mut Vec<EntryEffect>) {
        self.dispatcher.side_leaving(now.monotonic, vm);
        self.with_membership(now, out, |m, e| m.vm_gone(now, vm, e));
    }

    pub(super) fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    // ---- calls to the parts, and handling of their effects ----

    pub(super) fn with_membership(
        &mut self,
        now: Now,
        out: &mut Vec<EntryEffect>,
        run: impl FnOnce(&mut Membership, &mut Vec<MembershipEffect>),
    ) {
        let mut effects = Vec::new();
        run(&mut self.membership, &mut effects);
        for effect in effects {
            self.handle_membership_effect(now, effect, out);
        }
    }

    fn handle_membership_effect(
        &mut self,
        now: Now,
        effect: MembershipEffect,
        out: &mut Vec<EntryEffect>,
    ) {
        match effect {
            MembershipEffect::ToPeer { peer, message } => {
                out.push(EntryEffect::ToPeer { peer, message });
            }
            MembershipEffect::ToPeers(message) => {
                for peer in self.membership.connected() {
                    out.push(EntryEffect::ToPeer {
                        peer: peer.clone(),
                        message: message.clone(),
                    });
                }
            }
            MembershipEffect::ReadRoster => out.push(EntryEffect::ReadRoster),
            MembershipEffect::WriteRoster(write) => out.push(EntryEffect::WriteRoster(write)),
            MembershipEffect::Adopted(roster) => self.roster_adopted(now, roster, out),
        }
    }

    fn roster_adopted(&mut self, now: Now, roster: Roster, out: &mut Vec<EntryEffect>) {
        self.dispatcher.set_entries(roster.members.len() as u32);
        self.apply_teams();
        out.push(EntryEffect::RosterAdopted(roster));
        self.restart_all_queries(now, out);
    }

    pub(super) fn with_dispatcher<R>(
        &mut self,
        now: Now,
        out: &mut Vec<EntryEffect>,
        run: impl FnOnce(&mut Dispatcher, &mut Vec<DispatchEffect>) -> R,
    ) -> R {
        let mut effects = Vec::new();
        let result = run(&mut self.dispatcher, &mut effects);
        for effect in effects {
            self.handle_dispatch_effect(now, effect, out);
        }
        result
    }

    fn handle_dispatch_effect(
        &mut self,
        now: Now,
        effect: DispatchEffect,
        out: &mut Vec<EntryEffect>,
    ) {
        match effect {
            DispatchEffect::ToSide { side, message } => {
                out.push(EntryEffect::ToSide { side, message });
            }
            DispatchEffect::RequestCredits { demand, running } => {
                let message = PeerMessage::WantCredits { demand, running };
                self.send_to_peers(&message, out);
            }
            DispatchEffect::Lend { peer, credits } => {
                let message = PeerMessage::Lend { credits };
                out.push(EntryEffect::ToPeer { peer, message });
            }
            DispatchEffect::Ended { key, outcome } => self.on_submission_ended(key, outcome, out),
            DispatchEffect::RecordDecision(mut decision) => {
                decision.config_version = self.config.version();
                self.decisions.record(now.wall, decision);
            }
        }
    }

    fn on_submission_ended(
        &mut self,
        key: SubmissionKey,
        outcome: SubmissionOutcome,
        out: &mut Vec<EntryEffect>,
    ) {
        let reply = match outcome {
            SubmissionOutcome::Answered(answer) => {
                match &answer {
                    SubmissionAnswer::Complete(_) => self.counters.completed += 1,
                    SubmissionAnswer::Failed { reason, .. } => {
                        *self.counters.failed.entry(*reason).or_default() += 1;
                    }
                }
                let kept = self.ledger.finish(key, answer);
                Reply::Answered(SubmissionAnswer::clone(&kept))
            }
            SubmissionOutcome::Refused(refusal) => {
                *self.counters.refused.entry(refusal.reason).or_default() += 1;
                self.ledger.withdraw(key);
                Reply::Refused(refusal)
            }
        };
        self.reply_to_waiters(key, &reply, out);
    }

    pub(super) fn reply_to_waiters(
        &mut self,
        key: SubmissionKey,
        reply: &Reply,
        out: &mut Vec<EntryEffect>,
    ) {
        for waiter in self.waiters.remove(&key).unwrap_or_default() {
            self.reply(&waiter, reply.clone(), out);
        }
    }

    pub(super) fn reply(&mut self, waiter: &Waiter, reply: Reply, out: &mut Vec<EntryEffect>) {
        match waiter {
            Waiter::Caller(request) => out.push(EntryEffect::Reply {
                request: *request,
                reply,
            }),
            Waiter::Peer { peer, request } => out.push(EntryEffect::ToPeer {
                peer: peer.clone(),
                message: PeerMessage::Replied {
                    request: *request,
                    reply,
                },
            }),
        }
    }

    // ---- configuration ----

    /// Returns the definition of a service, or `None` if it does not exist or can't be parsed.
    pub(super) fn service(&self, name: &NodeName) -> Option<Service> {
        let text = self.config.get("service", name.as_str())?;
        serde_json::from_str(&text).ok()
    }

    /// Applies the teams' weights and limits. The limit of a team is its quota less the tasks that
    /// peers run for it, and at least an even share of the quota.
    pub(super) fn apply_teams(&mut self) {
        let entries = self
            .membership
            .roster()
            .map_or(1, |roster| roster.members.len().max(1) as u32);
        for item in self.config.of_kind("team") {
            let name = NodeName::from(&*item.resource.name);
            let text = item.value.as_deref().unwrap_or_default();
            let Ok(team) = serde_json::from_str::<Team>(text) else {
                continue;
            };
            self.team_quotas.insert(name.clone(), team.quota);
            let elsewhere: u32 = self
                .team_use
                .values()
                .flatten()
                .filter(|(other, _)| *other == name)
                .map(|(_, running)| running)
                .sum();
            let left = team.quota.saturating_sub(elsewhere);
            let limit = left.max(team.quota / entries);
            self.dispatcher.set_team(&name, team.weight, limit);
        }
    }

    pub(super) fn apply_profile(&mut self) {
        let Some(text) = self.config.get("profile", "policy") else {
            return;
        };
        if let Ok(profile) = serde_json::from_str::<Profile>(&text) {
            self.dispatcher.set_profile(profile);
        }
    }
}
