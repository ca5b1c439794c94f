//! Proposes changes of the roster: members that join, leave or are lost.

use std::time::Duration;

use super::{Member, MemberId, Membership, MembershipEffect, Roster, RosterWrite};
use crate::message::PeerMessage;
use crate::types::{Moment, Now};

/// Interval between requests to join, sent until the entry is a member.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an answer after which a write is sent again.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// A roster change that was sent to the store and is not known to be decided.
#[derive(Clone, Debug)]
pub(super) struct Proposal {
    pub(super) write: RosterWrite,
    sent_at: Moment,
}

impl Membership {
    /// Handles the request of a new entry to be written into the roster.
    pub fn join_requested(&mut self, now: Now, member: Member, out: &mut Vec<MembershipEffect>) {
        if self.is_in_roster(&member.id) {
            return;
        }
        self.joining.insert(member.id.name.clone(), member);
        self.propose_due(now, out);
    }

    /// Starts a planned stop: the entry proposes a roster without itself.
    pub fn leave(&mut self, now: Now, out: &mut Vec<MembershipEffect>) {
        self.is_leaving = true;
        self.propose_due(now, out);
    }

    pub(super) fn ask_to_join(&mut self, now: Now, out: &mut Vec<MembershipEffect>) {
        let is_due = self
            .asked_to_join_at
            .is_none_or(|at| now.monotonic.since(at) >= JOIN_INTERVAL);
        if self.is_member() || self.is_leaving || self.roster.is_none() || !is_due {
            return;
        }
        self.asked_to_join_at = Some(now.monotonic);
        let message = PeerMessage::Join(self.me.clone());
        out.push(MembershipEffect::ToPeers(message));
    }

    /// Proposes the change that is due, if this entry is the one to propose it.
    pub(super) fn propose_due(&mut self, now: Now, out: &mut Vec<MembershipEffect>) {
        if self.proposal.is_some() {
            return self.repeat_proposal(now, out);
        }
        let Some(roster) = self.roster.clone() else {
            return;
        };
        if self.revision == 0 {
            return;
        }
        let next = if self.is_member() {
            self.due_change(now, &roster)
        } else {
            self.restarted_roster(now, &roster)
        };
        if let Some(next) = next {
            self.propose(now, self.revision, next, out);
        }
    }

    /// Sends a write again if it has not been answered in time.
    fn repeat_proposal(&mut self, now: Now, out: &mut Vec<MembershipEffect>) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        if now.monotonic.since(proposal.sent_at) >= WRITE_INTERVAL {
            proposal.sent_at = now.monotonic;
            out.push(MembershipEffect::WriteRoster(proposal.write.clone()));
        }
    }

    /// Returns a roster with this entry alone if all members are dead, since no member is left that
    /// could add this entry.
    fn restarted_roster(&self, now: Now, roster: &Roster) -> Option<Roster> {
        let all_dead = roster.member_ids().all(|id| self.is_dead(id));
        if !all_dead || self.is_leaving {
            return None;
        }
        let mut next = roster.with(self.me.clone(), now.wall.as_millis());
        next.members.retain(|member| member.id == self.me.id);
        Some(next)
    }

    /// Returns the change that this entry has to propose as a member.
    fn due_change(&self, now: Now, roster: &Roster) -> Option<Roster> {
        let is_proposer =
            self.is_fresh(now.monotonic) && self.is_first_alive(now.monotonic, roster);
        if !is_proposer && !self.is_leaving {
            return None;
        }
        let wall = now.wall.as_millis();
        if self.is_leaving && roster.members.len() > 1 {
            return Some(roster.without(&self.me.id, wall));
        }
        let lost = roster
            .member_ids()
            .find(|id| **id != self.me.id && self.is_lost(now.monotonic, id));
        if let Some(id) = lost {
            let replacement = self.joining.get(&id.name);
            return Some(match replacement {
                Some(member) => roster.with(member.clone(), wall),
                None => roster.without(id, wall),
            });
        }
        let newcomer = self.joining.values().next()?;
        Some(roster.with(newcomer.clone(), wall))
    }

    /// Returns whether this entry is the first live member by name. Normally only that member
    /// proposes changes, but a member that is leaving proposes its own departure.
    fn is_first_alive(&self, now: Moment, roster: &Roster) -> bool {
        let mut alive = roster
            .member_ids()
            .filter(|id| **id == self.me.id || !self.is_lost(now, id));
        alive.next() == Some(&self.me.id)
    }

    fn is_lost(&self, now: Moment, id: &MemberId) -> bool {
        self.is_dead(id) || self.is_silent(now, id)
    }

    pub(super) fn propose(
        &mut self,
        now: Now,
        expected_revision: u64,
        roster: Roster,
        out: &mut Vec<MembershipEffect>,
    ) {
        // From here on this entry confirms the old version to no peer.
        let oldest = self.oldest_kept(now).as_millis();
        let write = RosterWrite {
            expected_revision,
            roster: roster.forget_before(oldest),
        };
        self.proposal = Some(Proposal {
            write: write.clone(),
            sent_at: now.monotonic,
        });
        out.push(MembershipEffect::WriteRoster(write));
    }
}
