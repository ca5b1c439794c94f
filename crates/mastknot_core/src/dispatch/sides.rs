//! Sides that come, leave, grant, and peers that lend.

use super::active_submission::Attempt;
use super::peer_want::PeerWant;
use super::{DispatchEffect, Dispatcher};
use crate::message::{Credit, Demand, FailReason, SideCredit, SideHello};
use crate::types::{Moment, NodeName, TaskId};

impl Dispatcher {
    /// A side has joined, or a new run of one.
    pub fn side_joined(&mut self, now: Moment, hello: SideHello, out: &mut Vec<DispatchEffect>) {
        let name = hello.side.clone();
        self.side_left(now, &name, out);
        self.pool.join(now, hello);
        self.ask_for_reserve(now, &name, out);
    }

    /// The link to a side is gone: what ran there has an unknown outcome.
    pub fn side_left(&mut self, now: Moment, side: &NodeName, out: &mut Vec<DispatchEffect>) {
        if self.pool.side(side).is_none() {
            return;
        }
        self.pool.leave(now, side);
        for (task, attempt) in self.attempts_on(side) {
            self.attempt_lost(now, task, attempt, FailReason::SideLost, out);
        }
        self.pump(now, out);
    }

    pub(super) fn attempts_on(&self, side: &NodeName) -> Vec<(TaskId, Attempt)> {
        let mut found = Vec::new();
        for (key, submission) in &self.active {
            for (index, attempts) in &submission.attempts {
                let here = attempts.iter().filter(|attempt| attempt.side == *side);
                let task = TaskId {
                    key: *key,
                    index: *index,
                };
                found.extend(here.map(|attempt| (task, attempt.clone())));
            }
        }
        found.sort_by_key(|(task, _)| *task);
        found
    }

    /// A side is leaving: its credits are dropped and it gets nothing new.
    pub fn side_leaving(&mut self, now: Moment, side: &NodeName) {
        self.pool.update(now, side, |side| {
            side.is_leaving = true;
            side.credits.clear();
        });
    }

    /// A side granted credits.
    pub fn granted(
        &mut self,
        now: Moment,
        side: &NodeName,
        credits: &[Credit],
        resting: u16,
        out: &mut Vec<DispatchEffect>,
    ) {
        self.note_resting(now, side, resting);
        self.keep(now, side, credits, false);
        self.pump(now, out);
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

    /// A peer has tasks waiting and too few credits.
    pub fn peer_wants(
        &mut self,
        now: Moment,
        peer: &NodeName,
        demand: Demand,
        running: u32,
        out: &mut Vec<DispatchEffect>,
    ) {
        self.peer_wants
            .entry(peer.clone())
            .and_modify(|want| want.state_again(now, demand, running))
            .or_insert_with(|| PeerWant::new(now, demand, running));
        self.counters.credits_lapsed += self.pool.drop_expired(now);
        self.pump(now, out);
    }

    /// A peer is gone, and what it wanted with it.
    pub fn forget_peer(&mut self, peer: &NodeName) {
        self.peer_wants.remove(peer);
    }

    /// A side said how many of its slots are neither taken nor granted.
    pub fn note_resting(&mut self, now: Moment, side: &NodeName, resting: u16) {
        self.pool.update(now, side, |side| side.resting = resting);
    }

    /// A peer lent credits.
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
        self.pump(now, out);
    }
}
