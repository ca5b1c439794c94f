//! Messages from peers, and periodic updates to peers.

use std::time::Duration;

use super::entry_core::Waiter;
use super::{EntryCore, EntryEffect};
use crate::config::Applied;
use crate::message::{ConfigDelta, PeerMessage, SideCredit};
use crate::roster::{MemberId, Roster};
use crate::types::{NodeName, Now};

/// Time between two periodic updates to peers.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);

impl EntryCore {
    pub(super) fn on_peer_message(
        &mut self,
        now: Now,
        peer: &MemberId,
        message: PeerMessage,
        out: &mut Vec<EntryEffect>,
    ) {
        self.membership.peer_message_received(now, &peer.name);
        match message {
            PeerMessage::Hello {
                member,
                roster_version,
                config_version,
            } => {
                self.with_membership(now, out, |m, e| {
                    m.peer_connected(now, &member, roster_version, e)
                });
                self.on_peer_config_version(&member.id.name, config_version, out);
            }
            PeerMessage::Confirm { nonce, version } => {
                self.with_membership(now, out, |m, e| {
                    m.confirmation_requested(now, &peer.name, nonce, version, e);
                });
            }
            PeerMessage::Confirmed { nonce, version } => {
                self.membership.confirmed(now, &peer.name, nonce, version);
            }
            PeerMessage::NewRoster(roster) => self.on_roster(now, roster, out),
            PeerMessage::Adopted { version } => {
                self.membership.peer_adopted(now, &peer.name, version);
            }
            PeerMessage::Join(member) => {
                self.with_membership(now, out, |m, e| m.join_requested(now, member, e));
            }
            PeerMessage::Forward {
                request,
                wait,
                submission,
            } => {
                let waiter = peer_waiter(peer, request);
                self.submit(now, waiter, submission, wait, out);
            }
            PeerMessage::Fetch { request, wait, key } => {
                let waiter = peer_waiter(peer, request);
                self.fetch(now, waiter, key, wait, out);
            }
            PeerMessage::Replied { request, reply } => self.on_reply(request, reply, out),
            PeerMessage::AskKey {
                request,
                version,
                key,
                digest,
                wait,
            } => self.on_key_query(&peer.name, request, version, key, digest, wait, out),
            PeerMessage::KeyKnown { request, status } => {
                self.on_key_status(now, request, status, out);
            }
            PeerMessage::Handover {
                records,
                is_complete,
            } => {
                self.counters.taken_over += records.len() as u64;
                for record in records {
                    self.ledger.take_over(record);
                }
                if is_complete {
                    self.membership.peer_handed_over(now, &peer.name);
                }
            }
            PeerMessage::WantCredits { demand, running } => {
                self.with_dispatcher(now, out, |d, e| {
                    d.peer_requested_credits(now.monotonic, &peer.name, demand, running, e);
                });
            }
            PeerMessage::Lend { credits } => self.borrowed(now, credits, out),
            PeerMessage::Config(delta) => self.apply_config(now, &delta, out),
            PeerMessage::ConfigInForce { version, .. } => {
                self.on_peer_config_version(&peer.name, version, out);
            }
            PeerMessage::TeamUse { running } => {
                self.team_use.insert(peer.name.clone(), running);
                self.apply_teams();
            }
        }
    }

    fn on_roster(&mut self, now: Now, roster: Roster, out: &mut Vec<EntryEffect>) {
        self.with_membership(now, out, |m, e| m.roster_received(now, roster, e));
    }

    pub(super) fn peer_lost(&mut self, now: Now, peer: &MemberId, out: &mut Vec<EntryEffect>) {
        self.membership.peer_disconnected(&peer.name);
        self.team_use.remove(&peer.name);
        self.dispatcher.forget_peer(&peer.name);
        self.fail_forwards(&peer.name, out);
        self.restart_queries_to(now, peer, out);
    }

    fn borrowed(&mut self, now: Now, credits: Vec<SideCredit>, out: &mut Vec<EntryEffect>) {
        self.with_dispatcher(now, out, |d, e| d.borrowed(now.monotonic, credits, e));
    }

    // ---- configuration ----

    /// Applies configuration from the store or from a peer.
    pub(super) fn apply_config(
        &mut self,
        now: Now,
        delta: &ConfigDelta,
        out: &mut Vec<EntryEffect>,
    ) {
        if self.config.apply(delta) != Applied::Advanced {
            return;
        }
        let version = self.config.version();
        self.config_changed_at = now.monotonic;
        // A recent delivery of the old version must not delay the new version.
        for link in self.sides.values_mut() {
            link.config_sent_at = None;
        }
        self.apply_teams();
        self.apply_profile();
        out.push(EntryEffect::ConfigAdvanced { version });
        self.send_to_peers(&self.config_in_force(), out);
        self.send_config_to_sides(now, out);
    }

    /// Records the version that a peer has in force and sends the peer what it lacks.
    fn on_peer_config_version(
        &mut self,
        peer: &NodeName,
        version: u64,
        out: &mut Vec<EntryEffect>,
    ) {
        self.peer_config_versions.insert(peer.clone(), version);
        if version < self.config.version() {
            let message = PeerMessage::Config(self.config.delta_since(version));
            let peer = peer.clone();
            out.push(EntryEffect::ToPeer { peer, message });
        }
    }

    // ---- periodic updates ----

    /// Sends peers this entry's configuration version and the teams that are near their quota, and
    /// sends lagging sides their configuration.
    pub(super) fn gossip(&mut self, now: Now, out: &mut Vec<EntryEffect>) {
        if now.monotonic.since(self.gossip_at) < GOSSIP_INTERVAL {
            return;
        }
        self.gossip_at = now.monotonic;
        self.send_config_to_sides(now, out);
        // Peers vote out a member that is silent for too long, so this message is sent even if
        // nothing has changed.
        self.send_to_peers(&self.config_in_force(), out);
        let team_use = self.teams_near_quota();
        if team_use != self.team_use_sent {
            self.team_use_sent = team_use.clone();
            self.send_to_peers(&PeerMessage::TeamUse { running: team_use }, out);
        }
    }

    /// Returns the teams that run at least half of their even share of the quota here. Other teams
    /// can't be the cause of an exceeded quota, and sending all teams would take too many bytes.
    fn teams_near_quota(&self) -> Vec<(NodeName, u32)> {
        let members = self.membership.roster().map(|roster| roster.members.len());
        let entries = members.unwrap_or(1) as u64;
        let is_near = |(team, running): &(NodeName, u32)| {
            let quota = self.team_quotas.get(team);
            quota.is_some_and(|quota| u64::from(*running) * 2 * entries >= u64::from(*quota))
        };
        let mut running = self.dispatcher.running_by_team();
        running.retain(is_near);
        running
    }

    fn config_in_force(&self) -> PeerMessage {
        let version = self.config.version();
        let sides_at = self.sides.values().filter(|s| s.config_version >= version);
        PeerMessage::ConfigInForce {
            version,
            sides_at: sides_at.count() as u32,
            sides: self.sides.len() as u32,
        }
    }

    pub(super) fn send_to_peers(&self, message: &PeerMessage, out: &mut Vec<EntryEffect>) {
        for peer in self.membership.connected() {
            out.push(EntryEffect::ToPeer {
                peer: peer.clone(),
                message: message.clone(),
            });
        }
    }
}

fn peer_waiter(peer: &MemberId, request: u64) -> Waiter {
    Waiter::Peer {
        peer: peer.name.clone(),
        request,
    }
}
