//! Links to entries: the handshake, the report of continuing runs, and the adoption of runs.

use super::owners::{Owner, OwnerKey};
use super::target_agent::TargetAgent;
use super::{AgentDecision, AgentEffect, LeaseEndCause, Run, RunPhase, SessionId};
use crate::job::{AdoptedRun, EndOfRun, EndedRun, EntryWelcome, RunId, SideReport};
use crate::types::Moment;

impl TargetAgent {
    pub(super) fn welcome(&mut self, now: Moment, session: SessionId, welcome: EntryWelcome) {
        let Some(handshake) = self.handshakes.swap_remove(&session) else {
            return;
        };
        let key = OwnerKey {
            entry: welcome.entry,
            incarnation: welcome.incarnation,
        };
        self.end_other_incarnations(now, &key);
        self.drop_queued_of(&key);
        let grants_capacity = welcome.update.grants_capacity;
        let hall = welcome.hall;
        let drained_revision = welcome
            .update
            .drained
            .revision
            .max(handshake.drained_revision);
        let update = welcome.update.clone();
        self.apply_update(session, welcome.update);
        if let Some(profile) = welcome.remembered_target {
            self.target_remembered(profile);
        }
        let has_runs = self.runs.has_any_of(&key);
        let owner = Owner::new(handshake.hello_sent);
        let owner = self.owners.entry(key.clone()).or_insert(owner);
        let replaced_session = owner.session.take();
        owner.take_session(session, handshake.hello_sent, has_runs);
        owner.drained_revision = drained_revision;
        owner.grants_capacity = grants_capacity;
        owner.hall = hall;
        owner.features = welcome.features;
        self.sessions.insert(session, key);
        self.learn_shares(session, &update);
        if let Some(replaced) = replaced_session {
            self.sessions.swap_remove(&replaced);
            self.forget_link(replaced);
            self.effects.push(AgentEffect::Close { session: replaced });
        }
    }

    /// Ends the leases of all earlier incarnations of the entry. Their jobs ended with them.
    fn end_other_incarnations(&mut self, now: Moment, key: &OwnerKey) {
        let is_other =
            |other: &&OwnerKey| other.entry == key.entry && other.incarnation != key.incarnation;
        let others: Vec<OwnerKey> = self.owners.keys().filter(is_other).cloned().collect();
        for other in others {
            self.end_lease(now, &other, LeaseEndCause::Restarted);
        }
    }

    /// Reports on each new link which runs continue, as soon as the target has shown this.
    pub(super) fn resume_links(&mut self, now: Moment) {
        if !self.link.is_settled {
            return;
        }
        let waiting = self.owners.iter().filter(|(_, owner)| !owner.is_resumed);
        let waiting: Vec<OwnerKey> = waiting
            .filter(|(_, owner)| owner.session.is_some())
            .map(|(key, _)| key.clone())
            .collect();
        for key in waiting {
            self.resume(now, &key);
        }
    }

    fn resume(&mut self, now: Moment, key: &OwnerKey) {
        let mut running = self.runs.of_owner(key);
        running.extend(self.survivors.keys().copied());
        let orphaned = self.orphaned_ends.clone();
        let Some(owner) = self.owners.get_mut(key) else {
            return;
        };
        owner.record_resumed();
        let mut ended = std::mem::take(&mut owner.ended);
        ended.extend(orphaned);
        let Some(session) = owner.session else {
            return;
        };
        for crash in self.crashes.recent(now) {
            self.send(session, SideReport::TargetCrashed(crash));
        }
        let takes_claims = self.grace.is_over();
        let resume = SideReport::Resume {
            running,
            ended,
            takes_claims,
        };
        self.send(session, resume);
        let entry = key.entry.clone();
        self.record_decision(AgentDecision::EntryJoined { entry });
    }

    pub(super) fn adopt(&mut self, now: Moment, key: &OwnerKey, runs: Vec<AdoptedRun>) {
        for adopted in runs {
            let Some(percent) = self.survivors.swap_remove(&adopted.run) else {
                self.report_end_of_adopted(key, adopted.run);
                continue;
            };
            let run = Run {
                phase: RunPhase::Running,
                percent,
                sampled_percent: percent,
                kind: adopted.kind,
                ..Run::new(
                    now,
                    key.clone(),
                    adopted.required_capacity,
                    adopted.estimate_ms,
                )
            };
            self.runs.insert(adopted.run, run);
        }
    }

    /// Reports the end of a run that was listed as continuing but ended before the entry adopted
    /// it.
    fn report_end_of_adopted(&mut self, key: &OwnerKey, run: RunId) {
        if self.runs.get(&run).is_some() {
            return;
        }
        let known = self.orphaned_ends.iter().find(|ended| ended.run == run);
        let ended = known.copied().unwrap_or(EndedRun {
            run,
            end: EndOfRun::Lost,
            ran_ms: 0,
        });
        if let Some(owner) = self.owners.get_mut(key) {
            owner.ended.push(ended);
        }
    }
}
