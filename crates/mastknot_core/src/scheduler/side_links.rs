//! Links to sides: handshakes, resumption, heartbeats, silence.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::job_scheduler::JobScheduler;
use super::side_view::{LinkMode, SideView};
use super::{SchedulerDecision, SchedulerEffect, SessionId};
use crate::job::{
    AdoptedRun, EndOfRun, EndedRun, EntryOrder, EntryUpdate, EntryWelcome, LinkFeatures, RunId,
    SideHello, SideReport, SideStatus,
};
use crate::types::{Moment, NodeName, pair_rank, stable_hash};

/// Number of sides that are notified at once when tasks begin to wait.
const NOTIFIED_AT_ONCE: usize = 8;
/// Maximum penalty for a side that its entry does not prefer, in thousandths of a full target.
const MAX_DISTANCE: u32 = 400;
/// Time window in which due heartbeats are sent together, because each wake-up has its cost.
const HEARTBEAT_WINDOW: Duration = Duration::from_millis(25);

/// A link whose side has sent a hello and has not answered the welcome yet.
#[derive(Clone, Debug)]
pub(super) struct PendingHandshake {
    at: Moment,
    hello: SideHello,
    /// State of this entry that the welcome reported.
    update: EntryUpdate,
}

impl JobScheduler {
    pub(super) fn handle_report(&mut self, now: Moment, session: SessionId, report: SideReport) {
        if let SideReport::Hello(hello) = report {
            self.welcome_side(now, session, hello);
            return;
        }
        if let Some(handshake) = self.pending_handshakes.shift_remove(&session) {
            self.establish_link(now, session, handshake);
        }
        let Some(name) = self.sessions.get(&session).cloned() else {
            return;
        };
        if let Some(view) = self.sides.get_mut(&name) {
            view.last_received_at = now;
            view.answer_due = None;
        }
        match report {
            SideReport::Hello(_) => {}
            SideReport::Resume {
                running,
                ended,
                takes_claims,
            } => {
                self.record_takes_claims(&name, takes_claims);
                self.resume(now, &name, running, ended);
            }
            SideReport::TakesClaims => {
                self.record_takes_claims(&name, true);
                self.claim_first_at(now, &name);
                self.review_pending_cancels(now);
            }
            SideReport::Status(status) => self.handle_status(now, session, &name, status),
            SideReport::TargetCrashed(crash) => self.record_crash(now, &name, &crash),
            SideReport::FetchEntries => self.send_entries(session),
            SideReport::FetchDocument(request) => self.document_server.request(session, request),
            SideReport::DocumentPart(part) => self.accept_document_part(session, part),
            SideReport::Claim { job, answer } => self.handle_claim_answer(now, &name, job, answer),
            SideReport::Cancel { job, answer } => {
                self.handle_cancel_answer(now, &name, job, answer);
            }
        }
    }

    /// Welcomes a side. The link counts as established once the side has answered.
    fn welcome_side(&mut self, now: Moment, session: SessionId, hello: SideHello) {
        let view = self.sides.get(&hello.side);
        let is_holder = view.is_some_and(|view| view.holds_documents);
        let update = self.entry_update().for_side(is_holder);
        let welcome = EntryWelcome {
            entry: self.settings.entry.clone(),
            incarnation: self.settings.incarnation,
            hall: self.settings.hall.clone(),
            remembered_target: view.and_then(|view| view.target.clone()),
            update: update.clone(),
            features: LinkFeatures::CURRENT,
        };
        let at = now;
        self.pending_handshakes
            .insert(session, PendingHandshake { at, hello, update });
        self.send(session, EntryOrder::Welcome(welcome));
    }

    /// Establishes the link of a side that has answered the welcome, in place of its previous link.
    ///
    /// A hello alone proves nothing: it may have been delayed since before its sender crashed, and would then close the
    /// link of the running incarnation.
    fn establish_link(&mut self, now: Moment, session: SessionId, handshake: PendingHandshake) {
        let hello = handshake.hello;
        self.update_drained_halls(now, &hello.drained);
        let is_hall_drained = self.drained_halls.contains(&hello.hall);
        let new_view = SideView::new(now, hello.incarnation, hello.hall.clone());
        let view = self.sides.entry(hello.side.clone()).or_insert(new_view);
        let replaced = view.session.take();
        view.incarnation = hello.incarnation;
        view.hall = hello.hall;
        view.features = hello.features;
        view.is_hall_drained = is_hall_drained;
        view.rank = pair_rank(&self.settings.entry, &hello.side);
        view.name_hash = stable_hash(&[&hello.side]);
        view.preference_penalty = distance(view.rank);
        view.attach_session(now, session);
        view.last_sent_update = Some(handshake.update);
        if let Some(replaced) = replaced {
            self.sessions.remove(&replaced);
            self.forget_link(replaced);
            self.effects
                .push(SchedulerEffect::Close { session: replaced });
        }
        self.sessions.insert(session, hello.side);
        self.sides_due = Some(now);
        self.document_fetch
            .record_offer(session, hello.config_version);
        self.is_document_holder_choice_stale = true;
        self.reassign_reserved_sides();
    }

    /// Closes links whose sides have not answered the welcome in time: the senders of the hellos no longer run.
    pub(super) fn close_unanswered_handshakes(&mut self, now: Moment) {
        let limit = self.settings.terms.silence;
        let is_over = |handshake: &PendingHandshake| now.since(handshake.at) >= limit;
        while self
            .pending_handshakes
            .first()
            .is_some_and(|(_, oldest)| is_over(oldest))
        {
            let Some((session, handshake)) = self.pending_handshakes.shift_remove_index(0) else {
                return;
            };
            self.counters.greetings_unanswered += 1;
            self.effects.push(SchedulerEffect::Close { session });
            self.record_decision(SchedulerDecision::HandshakeUnanswered {
                side: handshake.hello.side,
                incarnation: handshake.hello.incarnation,
            });
        }
    }

    /// Returns the time at which the oldest handshake counts as unanswered.
    pub(super) fn handshakes_due(&self) -> Option<Moment> {
        let (_, oldest) = self.pending_handshakes.first()?;
        Some(oldest.at + self.settings.terms.silence)
    }

    /// Settles the runs of an earlier link: each of them is kept, ended or lost.
    fn resume(&mut self, now: Moment, name: &NodeName, running: Vec<RunId>, ended: Vec<EndedRun>) {
        let running: HashSet<RunId> = running.into_iter().collect();
        let ended: HashMap<RunId, EndedRun> = ended.into_iter().map(|end| (end.run, end)).collect();
        let Some(view) = self.sides.get_mut(name) else {
            return;
        };
        view.is_resumed = true;
        let session = view.session;
        let held: Vec<RunId> = view.runs.keys().copied().collect();
        let mut adopted = Vec::new();
        let mut lost = 0;
        for run in held {
            if let Some(end) = ended.get(&run) {
                self.handle_run_end(now, name, end);
            } else if running.contains(&run) {
                adopted.extend(self.adoption(name, run));
            } else {
                lost += 1;
                self.handle_run_end(now, name, &lost_run(run));
            }
        }
        let kept = adopted.len();
        if let Some(session) = session
            && kept > 0
        {
            self.send(session, EntryOrder::Adopt(adopted.clone()));
            self.stop_unwanted_runs(session, &adopted);
        }
        let side = name.clone();
        self.record_decision(SchedulerDecision::SideJoined { side, kept, lost });
        self.claim_at_new_link(now, name);
    }

    fn adoption(&self, side: &NodeName, run: RunId) -> Option<AdoptedRun> {
        let id = self.sides.get(side)?.runs.get(&run)?;
        let job = self.jobs.get(id)?;
        let spec = job.request.steps.get(usize::from(run.task.step))?;
        Some(AdoptedRun {
            run,
            required_capacity: spec.required_capacity,
            estimate_ms: spec.estimate.as_millis() as u32,
            kind: job.kinds[usize::from(run.task.step)],
        })
    }

    /// Sends stop orders again that the earlier link may have lost.
    fn stop_unwanted_runs(&mut self, session: SessionId, adopted: &[AdoptedRun]) {
        for run in adopted {
            let job = self.jobs.get(&run.run.task.job);
            if job.is_none_or(|job| job.is_over) {
                self.send(session, EntryOrder::Stop(run.run));
            }
        }
    }

    fn handle_status(
        &mut self,
        now: Moment,
        session: SessionId,
        name: &NodeName,
        status: SideStatus,
    ) {
        if let Some(version) = status.config_version {
            self.document_fetch.record_offer(session, version);
        }
        if let Some(drained) = &status.drained {
            self.update_drained_halls(now, drained);
        }
        if let Some(view) = self.sides.get_mut(name) {
            if view.last_report_number == 0 && (!view.runs.is_empty() || !view.takes_claims) {
                // The side's lease for the runs that go on counts from the first report on this link, and the side
                // waits for this entry's claims.
                view.needs_heartbeat = true;
                self.sides_due = Some(now);
            }
            view.apply_status(now, &status);
            self.counters.grants += u64::from(status.grant.is_some());
            let grant_ends = view.grant.map(|grant| grant.until);
            let grants_end = self.grants_expire_at.into_iter().chain(grant_ends).min();
            self.grants_expire_at = grants_end;
            if view.has_unanswered_grant {
                self.sides_due = Some(now);
            } else if status.is_offer {
                view.needs_heartbeat = true;
                self.sides_due = Some(now);
            }
            if view.link_mode == LinkMode::Activating && !status.is_standby {
                view.link_mode = LinkMode::Active;
                // This confirms the report before any start is sent there: the side's lease counts from its report.
                let report_number = view.last_report_number;
                let confirmed = EntryOrder::Heartbeat {
                    last_received: report_number,
                    need: None,
                    update: None,
                };
                self.send(session, confirmed);
            }
        }
        for ended in &status.ended {
            self.handle_run_end(now, name, ended);
        }
    }

    pub(super) fn link_down(&mut self, now: Moment, session: SessionId) {
        self.drop_link(now, session, false);
    }

    pub(super) fn drop_link(&mut self, now: Moment, session: SessionId, was_silent: bool) {
        self.pending_handshakes.shift_remove(&session);
        let Some(name) = self.sessions.remove(&session) else {
            return;
        };
        self.forget_link(session);
        let Some(view) = self.sides.get_mut(&name) else {
            return;
        };
        if view.session != Some(session) {
            return;
        }
        view.session = None;
        view.is_resumed = false;
        let age_ms = now.since(view.last_received_at).as_millis() as u64;
        let runs = view.runs.len();
        self.sides_due = Some(now);
        self.is_document_holder_choice_stale = true;
        self.reassign_reserved_sides();
        self.fill_active_links(now);
        self.await_link(now, &name);
        self.reassign_claims(now, &name);
        self.replace_notified(now, &name);
        self.record_decision(SchedulerDecision::SideLeft {
            side: name,
            was_silent,
            age_ms,
            runs,
        });
    }

    /// Closes links on which nothing was received for too long.
    pub(super) fn close_silent_links(&mut self, now: Moment) {
        if !self.are_sides_due(now) {
            return;
        }
        let terms = &self.settings.terms;
        let linked = self.sides.values();
        let silent = linked.filter(|side| side.is_silent(now, terms));
        let silent: Vec<SessionId> = silent.filter_map(|side| side.session).collect();
        for session in silent {
            self.counters.links_silent += 1;
            self.effects.push(SchedulerEffect::Close { session });
            self.drop_link(now, session, true);
        }
    }

    /// Ends the runs of sides that have been silent for longer than any lease.
    pub(super) fn end_lost_runs(&mut self, now: Moment) {
        if !self.are_sides_due(now) {
            return;
        }
        let limit = self.settings.terms.run_over_after;
        let has_ended_runs =
            |side: &SideView| side.session.is_none() && now.since(side.last_received_at) > limit;
        let lost_sides = self.sides.iter().filter(|(_, side)| has_ended_runs(side));
        let lost_sides: Vec<(NodeName, Vec<RunId>)> = lost_sides
            .filter(|(_, side)| !side.runs.is_empty())
            .map(|(name, side)| (name.clone(), side.runs.keys().copied().collect()))
            .collect();
        for (name, runs) in lost_sides {
            for run in runs {
                self.handle_run_end(now, &name, &lost_run(run));
            }
        }
    }

    /// Sends heartbeats that are due, answers offers of capacity, and notifies some sides at once when tasks begin to
    /// wait.
    pub(super) fn send_heartbeats(&mut self, now: Moment) {
        let has_waiting = self.has_job_in_turn(now);
        let must_notify = has_waiting && !self.has_reported_waiting && !self.uses_capacity_grants();
        self.has_reported_waiting = has_waiting;
        if must_notify {
            self.mark_first_notified();
            self.sides_due = Some(now);
        }
        self.report_new_need(now);
        if !self.are_sides_due(now) {
            return;
        }
        self.choose_document_holders();
        let terms = self.settings.terms;
        let mut linked = self.sides.values().filter(|side| side.session.is_some());
        let is_time =
            linked.any(|side| now.since(side.heartbeat_sent_at) >= side.heartbeat_interval(&terms));
        let mut heartbeats = Vec::new();
        let update = self.entry_update();
        for side in self.sides.values_mut() {
            let Some(session) = side.session else {
                continue;
            };
            if std::mem::take(&mut side.has_unanswered_grant) {
                let is_returned = side.has_unused_grant();
                self.counters.grants_returned += u64::from(is_returned);
                side.needs_heartbeat |= is_returned;
            }
            let every = side.heartbeat_interval(&terms);
            let is_due = is_time && now.since(side.heartbeat_sent_at) + HEARTBEAT_WINDOW >= every;
            if std::mem::take(&mut side.needs_heartbeat) || is_due {
                side.heartbeat_sent_at = now;
                if side.grant.is_some_and(|grant| grant.is_needed) {
                    side.drop_grant();
                }
                let unsent_update = side.take_unsent_update(&update);
                heartbeats.push((session, side.last_report_number, unsent_update));
            }
        }
        if heartbeats.is_empty() {
            return;
        }
        let waiting = self.waiting_need(now);
        for (session, report_number, unsent_update) in heartbeats {
            let need = waiting.clone();
            self.send(
                session,
                EntryOrder::Heartbeat {
                    last_received: report_number,
                    need,
                    update: unsent_update,
                },
            );
        }
    }

    /// Computes the time at which the sides have to be visited again. Messages that arrive until then can only postpone
    /// it.
    pub(super) fn schedule_sides(&mut self, now: Moment) {
        if !self.are_sides_due(now) {
            return;
        }
        let terms = &self.settings.terms;
        let due = self.sides.values().filter_map(|side| side.due(terms));
        self.sides_due = due.min();
    }

    fn are_sides_due(&self, now: Moment) -> bool {
        self.sides_due.is_some_and(|due| now >= due)
    }

    /// Marks the next few sides in turn to be notified at once. The others learn of the waiting tasks with the regular
    /// heartbeat.
    fn mark_first_notified(&mut self) {
        let sides = self.sides.len();
        for _ in 0..sides.min(NOTIFIED_AT_ONCE) {
            self.last_notified = (self.last_notified + 1) % sides;
            if let Some((_, side)) = self.sides.get_index_mut(self.last_notified) {
                side.needs_heartbeat = side.takes_work();
            }
        }
    }
}

/// Returns a fixed penalty for each pair of an entry and a side. Entries that see the same free capacity then begin
/// with different sides, and seldom send their starts to the same one.
fn distance(rank: u32) -> u32 {
    (rank >> 8) % MAX_DISTANCE
}

fn lost_run(run: RunId) -> EndedRun {
    EndedRun {
        run,
        end: EndOfRun::Lost,
        ran_ms: 0,
    }
}
