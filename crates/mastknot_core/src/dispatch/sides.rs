//! Sides that join, leave and grant credits, and peers that request and lend credits.

use super::active_submission::Attempt;
use super::peer_request::PeerRequest;
use super::{DispatchEffect, Dispatcher};
use crate::message::{Credit, Demand, FailReason, SideCredit, SideHello};
use crate::types::{Moment, NodeName, TaskId};

impl Dispatcher {
    /// Handles the join of a side, or of a new incarnation of a known side.
    pub fn side_joined(&mut self, now: Moment, hello: SideHello, out: &mut Vec<DispatchEffect>) {
        let name = hello.side.clone();
        self.side_left(now, &name, out);
        self.pool.add_side(now, hello);
        self.request_reserve(now, &name, out);
    }

    /// Handles the loss of the link to a side. Attempts on the side have an unknown outcome.
    pub fn side_left(&mut self, now: Moment, side: &NodeName, out: &mut Vec<DispatchEffect>) {
        if self.pool.side(side).is_none() {
            return;
        }
        self.pool.remove_side(now, side);
        for (task, attempt) in self.attempts_on(side) {
            self.attempt_lost(now, task, attempt, FailReason::SideLost, out);
        }
        self.spend_credits(now, out);
    }

    pub(super) fn attempts_on(&self, side: &NodeName) -> Vec<(TaskId, Attempt)> {
        let mut found = Vec::new();
        for (key, submission) in &self.active {
            for (index, attempts) in &submission.attempts {
                let on_side = attempts.iter().filter(|attempt| attempt.side == *side);
                let task = TaskId {
                    key: *key,
                    index: *index,
                };
                found.extend(on_side.map(|attempt| (task, attempt.clone())));
            }
        }
        found.sort_by_key(|(task, _)| *task);
        found
    }

    /// Handles the announcement that a side is leaving: drops its credits and starts no new tasks
    /// on it.
    pub fn side_leaving(&mut self, now: Moment, side: &NodeName) {
        self.pool.update(now, side, |side| {
            side.is_leaving = true;
            side.credits.clear();
        });
    }

    /// Handles a grant of credits by a side.
    pub fn granted(
        &mut self,
        now: Moment,
        side: &NodeName,
        credits: &[Credit],
        idle_slots: u16,
        out: &mut Vec<DispatchEffect>,
    ) {
        self.record_idle_slots(now, side, idle_slots);
        self.keep(now, side, credits, false);
        self.spend_credits(now, out);
    }

    pub(super) fn keep(
        &mut self,
        now: Moment,
        side: &NodeName,
        credits: &[Credit],
        is_borrowed: bool,
    ) {
        let kept = self.pool.update(now, side, |side| {
            credits
                .iter()
                .filter(|credit| side.keep(now, **credit, is_borrowed))
                .count()
        });
        self.counters.credits_received += kept.unwrap_or(0) as u64;
    }

    /// Handles the request of a peer that has waiting tasks and too few credits.
    pub fn peer_requested_credits(
        &mut self,
        now: Moment,
        peer: &NodeName,
        demand: Demand,
        running: u32,
        out: &mut Vec<DispatchEffect>,
    ) {
        self.peer_requests
            .entry(peer.clone())
            .and_modify(|request| request.update(now, demand, running))
            .or_insert_with(|| PeerRequest::new(now, demand, running));
        self.counters.credits_lapsed += self.pool.drop_expired(now);
        self.spend_credits(now, out);
    }

    /// Forgets a lost peer and its request for credits.
    pub fn forget_peer(&mut self, peer: &NodeName) {
        self.peer_requests.remove(peer);
    }

    /// Records the number of slots that a side reports as neither in use nor granted.
    pub fn record_idle_slots(&mut self, now: Moment, side: &NodeName, idle_slots: u16) {
        self.pool
            .update(now, side, |side| side.idle_slots = idle_slots);
    }

    /// Adds credits lent by a peer.
    pub fn borrowed(
        &mut self,
        now: Moment,
        credits: Vec<SideCredit>,
        out: &mut Vec<DispatchEffect>,
    ) {
        self.counters.credits_borrowed += credits.len() as u64;
        for lent in credits {
            self.keep(now, &lent.side, &[lent.credit], true);
        }
        self.spend_credits(now, out);
    }
}
