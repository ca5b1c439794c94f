use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use super::rebuild::Rebuild;
use super::{ConfigStatus, EntryCounters, EntryEffect, EntryEvent, EntrySettings, RequestId};
use crate::config::{ConfigReplica, Profile, Service, Team};
use crate::decision::DecisionLog;
use crate::dispatch::{DispatchCounters, DispatchEffect, Dispatcher, SideStatus, Verdict};
use crate::message::{PeerMessage, Reply, SubmissionAnswer};
use crate::roster::{Membership, MembershipEffect, Roster};
use crate::submission::Ledger;
use crate::types::{Incarnation, Moment, NodeName, Now, SubmissionKey};

/// Who waits for the answer to a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Waiter {
    /// A caller of this entry.
    Caller(RequestId),
    /// A peer that forwarded the submission.
    Peer { peer: NodeName, request: u64 },
}

/// What an entry knows of a connected side besides its credits.
#[derive(Clone, Debug)]
pub(super) struct SideLink {
    pub(super) incarnation: Incarnation,
    pub(super) config_version: u64,
    pub(super) config_sent_at: Option<Moment>,
}

/// A submission that has no answer yet, as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LiveSubmission {
    /// Its key.
    pub key: String,
    /// Tasks that have answered.
    pub done: u16,
    /// Tasks in all.
    pub count: u16,
}

/// A protection that is switched off, so that tests can show that its absence is noticed.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisabledCheck {
    /// Resubmissions are not recognised.
    Resubmission,
    /// Keys of earlier holders are accepted without a question.
    EarlierOwners,
}

/// The core of an entry process.
///
/// It joins the roster, the ledger, the dispatcher and the configuration. All decisions of an
/// entry are made in [`EntryCore::step`].
#[derive(Clone, Debug)]
pub struct EntryCore {
    pub(super) settings: EntrySettings,
    pub(super) membership: Membership,
    pub(super) ledger: Ledger,
    pub(super) dispatcher: Dispatcher,
    pub(super) config: ConfigReplica,
    pub(super) decisions: DecisionLog,
    pub(super) counters: EntryCounters,
    pub(super) waiters: HashMap<SubmissionKey, Vec<Waiter>>,
    pub(super) forwards: HashMap<u64, super::callers::Forwarded>,
    pub(super) questions: HashMap<u64, super::callers::Question>,
    pub(super) rebuilds: HashMap<SubmissionKey, Rebuild>,
    pub(super) sides: BTreeMap<NodeName, SideLink>,
    pub(super) peer_versions: BTreeMap<NodeName, u64>,
    pub(super) team_use: BTreeMap<NodeName, Vec<(NodeName, u32)>>,
    pub(super) team_quotas: BTreeMap<NodeName, u32>,
    pub(super) team_use_sent: Vec<(NodeName, u32)>,
    pub(super) config_changed_at: Moment,
    pub(super) gossip_at: Moment,
    pub(super) next_id: u64,
    pub(super) is_stopping: bool,
    pub(super) has_stopped: bool,
    pub(super) breakage: Option<DisabledCheck>,
}

impl EntryCore {
    /// An entry that knows no peer and no side yet.
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
            questions: HashMap::new(),
            rebuilds: HashMap::new(),
            sides: BTreeMap::new(),
            peer_versions: BTreeMap::new(),
            team_use: BTreeMap::new(),
            team_quotas: BTreeMap::new(),
            team_use_sent: Vec::new(),
            config_changed_at: Moment::default(),
            gossip_at: Moment::default(),
            next_id: 1,
            is_stopping: false,
            has_stopped: false,
            breakage: None,
            settings,
        }
    }

    /// What the entry has counted.
    pub fn counters(&self) -> &EntryCounters {
        &self.counters
    }

    /// What its dispatcher has counted.
    pub fn dispatch_counters(&self) -> DispatchCounters {
        self.dispatcher.counters()
    }

    /// The dispatcher, to look at.
    pub fn dispatcher(&self) -> &Dispatcher {
        &self.dispatcher
    }

    /// The ledger, to look at.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The membership, to look at.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Switches a protection off.
    ///
    /// > **Caution:** only for tests that must see the breakage caught.
    #[doc(hidden)]
    pub fn disable_check(&mut self, breakage: DisabledCheck) {
        self.breakage = Some(breakage);
    }

    /// The decisions that are kept.
    pub fn decisions(&self) -> &DecisionLog {
        &self.decisions
    }

    /// The configuration in force.
    pub fn config(&self) -> &ConfigReplica {
        &self.config
    }

    /// The sides as operators see them.
    pub fn side_status(&self, now: Moment) -> Vec<SideStatus> {
        self.dispatcher.side_status(now)
    }

    /// Submissions without an answer.
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

    /// How far the configuration is in force.
    pub fn config_status(&self) -> ConfigStatus {
        let version = self.config.version();
        let sides_at = self.sides.values().filter(|s| s.config_version >= version);
        let me = &self.settings.me.id;
        let members = self.membership.roster().map(|roster| &roster.members[..]);
        let peers = members.unwrap_or_default().iter().filter(|m| m.id != *me);
        let peer_at = |name: &NodeName| self.peer_versions.get(name) >= Some(&version);
        let peers_at = peers.clone().filter(|m| peer_at(&m.id.name)).count();
        ConfigStatus {
            version,
            nodes_in_force: 1 + peers_at as u32 + sides_at.count() as u32,
            nodes: 1 + peers.count() as u32 + self.sides.len() as u32,
        }
    }

    /// When [`EntryEvent::Tick`] is due.
    pub fn next_tick(&self, now: Moment) -> Moment {
        let membership = self.membership.next_tick(now);
        let dispatch = self.dispatcher.next_tick(now);
        let rebuild = self.rebuilds.values().map(|rebuild| rebuild.until).min();
        [dispatch, rebuild]
            .into_iter()
            .flatten()
            .fold(membership, Moment::min)
    }

    /// Handles one event.
    pub fn step(&mut self, now: Now, event: EntryEvent) -> Vec<EntryEffect> {
        let mut out = Vec::new();
        match event {
            EntryEvent::FromCaller { request, ask } => {
                self.caller_asked(now, request, ask, &mut out)
            }
            EntryEvent::CallerGone { request } => self.caller_gone(request),
            EntryEvent::FromSide {
                side,
                incarnation,
                message,
            } => self.side_sent(now, side, incarnation, message, &mut out),
            EntryEvent::SideLost { side, incarnation } => {
                self.side_lost(now, &side, incarnation, &mut out);
            }
            EntryEvent::FromPeer { peer, message } => {
                self.peer_sent(now, &peer, message, &mut out);
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
            EntryEvent::Config(delta) => self.config_learned(now, &delta, &mut out),
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
        self.give_up_late(now, out);
        self.gossip(now, out);
    }

    /// The list lags, so it is weighed with the links: a side whose link stands gets nothing new
    /// and may end what it runs; an entry is believed dead only if it is silent as well.
    fn vm_gone(&mut self, now: Now, vm: &NodeName, out: &mut Vec<EntryEffect>) {
        self.dispatcher.side_leaving(now.monotonic, vm);
        self.with_membership(now, out, |m, e| m.vm_gone(now, vm, e));
    }

    pub(super) fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    // ---- running the parts and passing on what they want ----

    pub(super) fn with_membership(
        &mut self,
        now: Now,
        out: &mut Vec<EntryEffect>,
        run: impl FnOnce(&mut Membership, &mut Vec<MembershipEffect>),
    ) {
        let mut effects = Vec::new();
        run(&mut self.membership, &mut effects);
        for effect in effects {
            self.membership_effect(now, effect, out);
        }
    }

    fn membership_effect(
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
        self.resume_questions(now, out);
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
            self.dispatch_effect(now, effect, out);
        }
        result
    }

    fn dispatch_effect(&mut self, now: Now, effect: DispatchEffect, out: &mut Vec<EntryEffect>) {
        match effect {
            DispatchEffect::ToSide { side, message } => {
                out.push(EntryEffect::ToSide { side, message });
            }
            DispatchEffect::AskPeers { demand, running } => {
                let message = PeerMessage::WantCredits { demand, running };
                self.tell_peers(&message, out);
            }
            DispatchEffect::Lend { peer, credits } => {
                let message = PeerMessage::Lend { credits };
                out.push(EntryEffect::ToPeer { peer, message });
            }
            DispatchEffect::Ended { key, verdict } => self.ended(key, verdict, out),
            DispatchEffect::Decided(mut decision) => {
                decision.config_version = self.config.version();
                self.decisions.record(now.wall, decision);
            }
        }
    }

    fn ended(&mut self, key: SubmissionKey, verdict: Verdict, out: &mut Vec<EntryEffect>) {
        let reply = match verdict {
            Verdict::Answered(answer) => {
                match &answer {
                    SubmissionAnswer::Complete(_) => self.counters.completed += 1,
                    SubmissionAnswer::Failed { reason, .. } => {
                        *self.counters.failed.entry(*reason).or_default() += 1;
                    }
                }
                let kept = self.ledger.finish(key, answer);
                Reply::Answered(SubmissionAnswer::clone(&kept))
            }
            Verdict::Refused(refusal) => {
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

    /// The definition of a service, if it exists and can be read.
    pub(super) fn service(&self, name: &NodeName) -> Option<Service> {
        let text = self.config.get("service", name.as_str())?;
        serde_json::from_str(&text).ok()
    }

    /// Puts the teams' weights and limits in force, less what peers run for them.
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
