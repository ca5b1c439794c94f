//! Requests of callers: refusal, forwarding, acceptance, and queries to earlier owners of a key.

use std::sync::Arc;
use std::time::Duration;

use super::entry_core::{DisabledCheck, Waiter};
use super::{CallerRequest, EntryCore, EntryEffect, RequestId};
use crate::message::{
    KeyStatus, PeerMessage, Refusal, RefusalReason, Reply, Submission, SubmissionAnswer,
};
use crate::roster::{Acceptance, MemberId};
use crate::submission::{Ledger, Lookup};
use crate::types::{Moment, NodeName, Now, SubmissionKey};

/// Retry delay in milliseconds in refusals while the roster changes.
const ROSTER_RETRY_AFTER_MS: u32 = 500;
/// Retry delay in milliseconds in refusals while the ledger is full.
const LEDGER_RETRY_AFTER_MS: u32 = 5_000;

/// Time in milliseconds after a submission's deadline at which the owner's reply counts as lost.
const OWNER_GRACE_MS: u32 = 500;
/// Time in milliseconds for which a fetch waits for the owner's reply. [`OWNER_GRACE_MS`] is added
/// to it.
const FETCH_TIMEOUT_MS: u32 = 60_000;

/// A request that was forwarded to a peer.
#[derive(Clone, Debug)]
pub(super) struct Forwarded {
    pub(super) waiter: Waiter,
    pub(super) peer: NodeName,
    /// Time at which the caller is informed that the outcome is unknown.
    pub(super) expires_at: Moment,
}

/// A submission that waits until the earlier owners of its key have reported whether they accepted
/// it.
#[derive(Clone, Debug)]
pub(super) struct KeyQuery {
    pub(super) waiter: Waiter,
    pub(super) wait: bool,
    pub(super) submission: Submission,
    /// Earlier owner that is being queried.
    pub(super) peer: MemberId,
    /// Time at which the caller is informed that the outcome is unknown.
    pub(super) expires_at: Moment,
    /// Earlier owners that have reported that they never accepted the key.
    pub(super) cleared_by: Vec<MemberId>,
}

impl EntryCore {
    pub(super) fn on_caller_request(
        &mut self,
        now: Now,
        request: RequestId,
        ask: CallerRequest,
        out: &mut Vec<EntryEffect>,
    ) {
        let waiter = Waiter::Caller(request);
        match ask {
            CallerRequest::Submit { submission, wait } => {
                self.submit(now, waiter, submission, wait, out);
            }
            CallerRequest::Fetch { key, wait } => self.fetch(now, waiter, key, wait, out),
        }
    }

    /// Forgets a caller that has disconnected. Its submission continues, only the reply is dropped.
    pub(super) fn on_caller_gone(&mut self, request: RequestId) {
        let disconnected = Waiter::Caller(request);
        for waiters in self.waiters.values_mut() {
            waiters.retain(|waiter| *waiter != disconnected);
        }
        self.forwards
            .retain(|_, forwarded| forwarded.waiter != disconnected);
    }

    pub(super) fn refuse(&mut self, waiter: &Waiter, refusal: Refusal, out: &mut Vec<EntryEffect>) {
        *self.counters.refused.entry(refusal.reason).or_default() += 1;
        self.reply(waiter, Reply::Refused(refusal), out);
    }

    fn check(&self, now: Now, submission: &Submission) -> Result<(), Refusal> {
        let count = submission.tasks.len();
        if count == 0 || count > usize::from(self.settings.max_tasks) {
            return Err(Refusal::not_run(RefusalReason::BadTaskCount));
        }
        match self.ledger.check_age(now.wall, submission.key) {
            Ok(()) => Ok(()),
            // The system may have run the submission before it forgot the key.
            Err(RefusalReason::KeyTooOld) => Err(Refusal::unknown(RefusalReason::KeyTooOld)),
            Err(reason) => Err(Refusal::not_run(reason)),
        }
    }

    pub(super) fn submit(
        &mut self,
        now: Now,
        waiter: Waiter,
        submission: Submission,
        wait: bool,
        out: &mut Vec<EntryEffect>,
    ) {
        if let Err(refusal) = self.check(now, &submission) {
            return self.refuse(&waiter, refusal, out);
        }
        let digest = submission.digest();
        if self.disabled_check == Some(DisabledCheck::Resubmission) {
            self.ledger = Ledger::new(self.settings.ledger);
        }
        match self.ledger.look_up(submission.key, digest) {
            Lookup::Absent => self.submit_new(now, waiter, submission, wait, out),
            Lookup::Reused => {
                let refusal = Refusal::not_run(RefusalReason::KeyReused);
                self.refuse(&waiter, refusal, out);
            }
            known => {
                self.counters.resubmitted += 1;
                self.reply_known(waiter, submission.key, known, wait, out);
            }
        }
    }

    /// Replies from the ledger, or adds the waiter to those that get the answer later.
    fn reply_known(
        &mut self,
        waiter: Waiter,
        key: SubmissionKey,
        known: Lookup,
        wait: bool,
        out: &mut Vec<EntryEffect>,
    ) {
        match known {
            Lookup::Finished(answer) => {
                let answer: SubmissionAnswer = Arc::unwrap_or_clone(answer);
                self.reply(&waiter, Reply::Answered(answer), out);
            }
            Lookup::Active if wait => self.waiters.entry(key).or_default().push(waiter),
            Lookup::Active => {
                let (done, count) = self.dispatcher.progress(key).unwrap_or_default();
                self.reply(&waiter, Reply::Pending { done, count }, out);
            }
            Lookup::Absent | Lookup::Reused => {
                let refusal = Refusal::unknown(RefusalReason::NotFound);
                self.refuse(&waiter, refusal, out);
            }
        }
    }

    fn submit_new(
        &mut self,
        now: Now,
        waiter: Waiter,
        submission: Submission,
        wait: bool,
        out: &mut Vec<EntryEffect>,
    ) {
        let mut acceptance = self.membership.acceptance(now, submission.key);
        let is_earlier = matches!(acceptance, Acceptance::Ask(_) | Acceptance::Unknown);
        if is_earlier && self.disabled_check == Some(DisabledCheck::EarlierOwners) {
            acceptance = Acceptance::Yes;
        }
        match acceptance {
            Acceptance::Yes => self.accept(now, waiter, submission, wait, out),
            Acceptance::HeldBy(owner) => {
                if matches!(waiter, Waiter::Peer { .. }) {
                    // The sender's roster differs from this entry's; a second hop could lead to a
                    // forwarding loop.
                    let refusal = Refusal::unknown(RefusalReason::NoAuthority);
                    return self.refuse(
                        &waiter,
                        refusal.retry_after_ms(ROSTER_RETRY_AFTER_MS),
                        out,
                    );
                }
                let expires_at = self.reply_expiry(now, submission.deadline_ms);
                self.forward(waiter, &owner.id.name, expires_at, out, |request| {
                    PeerMessage::Forward {
                        request,
                        wait,
                        submission,
                    }
                });
            }
            Acceptance::NoAuthority => {
                let reason = if self.is_stopping {
                    RefusalReason::Stopping
                } else {
                    RefusalReason::NoAuthority
                };
                // Only an owner with authority can rule out that an earlier submission of this key
                // has run.
                let refusal = Refusal::unknown(reason).retry_after_ms(ROSTER_RETRY_AFTER_MS);
                self.refuse(&waiter, refusal, out);
            }
            Acceptance::NotYet(left) => {
                let refusal = Refusal::unknown(RefusalReason::NoAuthority)
                    .retry_after_ms(left.as_millis() as u32 + 1);
                self.refuse(&waiter, refusal, out);
            }
            Acceptance::Ask(owners) => {
                let expires_at = self.reply_expiry(now, submission.deadline_ms);
                let query = KeyQuery {
                    waiter,
                    wait,
                    submission,
                    peer: self.settings.me.id.clone(),
                    expires_at,
                    cleared_by: Vec::new(),
                };
                self.query_earlier_owners(now, query, owners, out);
            }
            Acceptance::Unknown => {
                self.rebuild(now, waiter, submission.key, Some(submission.digest()), out);
            }
        }
    }

    fn accept(
        &mut self,
        now: Now,
        waiter: Waiter,
        submission: Submission,
        wait: bool,
        out: &mut Vec<EntryEffect>,
    ) {
        if self.is_stopping && self.is_only_member() {
            let refusal = Refusal::not_run(RefusalReason::Stopping);
            return self.refuse(&waiter, refusal.retry_after_ms(ROSTER_RETRY_AFTER_MS), out);
        }
        let Some(definition) = self.service(&submission.service) else {
            let refusal = Refusal::not_run(RefusalReason::UnknownService);
            return self.refuse(&waiter, refusal, out);
        };
        if !self.ledger.has_capacity() {
            let refusal = Refusal::not_run(RefusalReason::LedgerFull);
            return self.refuse(&waiter, refusal.retry_after_ms(LEDGER_RETRY_AFTER_MS), out);
        }
        let key = submission.key;
        self.ledger.accept(key, submission.digest());
        if wait {
            self.waiters.entry(key).or_default().push(waiter.clone());
        } else {
            self.waiters.entry(key).or_default();
        }
        let admitted = self.with_dispatcher(now, out, |dispatcher, effects| {
            dispatcher.submit(now.monotonic, &submission, definition, effects)
        });
        match admitted {
            Ok(()) => {
                self.counters.accepted += 1;
                if !wait {
                    let count = submission.tasks.len() as u16;
                    self.reply(&waiter, Reply::Pending { done: 0, count }, out);
                }
            }
            Err(refusal) => {
                self.ledger.withdraw(key);
                self.waiters.remove(&key);
                self.refuse(&waiter, refusal, out);
            }
        }
    }

    fn forward(
        &mut self,
        waiter: Waiter,
        peer: &NodeName,
        expires_at: Moment,
        out: &mut Vec<EntryEffect>,
        message: impl FnOnce(u64) -> PeerMessage,
    ) {
        if !self.membership.is_connected(peer) {
            // This submission has not run, but an earlier one with the same key may have; only the
            // owner knows.
            let refusal = Refusal::unknown(RefusalReason::HolderUnreachable);
            return self.refuse(&waiter, refusal.retry_after_ms(ROSTER_RETRY_AFTER_MS), out);
        }
        let request = self.new_id();
        self.counters.forwarded += 1;
        let peer = peer.clone();
        let forwarded = Forwarded {
            waiter,
            peer: peer.clone(),
            expires_at,
        };
        self.forwards.insert(request, forwarded);
        let message = message(request);
        out.push(EntryEffect::ToPeer { peer, message });
    }

    pub(super) fn fetch(
        &mut self,
        now: Now,
        waiter: Waiter,
        key: SubmissionKey,
        wait: bool,
        out: &mut Vec<EntryEffect>,
    ) {
        let known = self.ledger.find(key);
        if known != Lookup::Absent {
            return self.reply_known(waiter, key, known, wait, out);
        }
        match self.membership.acceptance(now, key) {
            Acceptance::HeldBy(owner) if matches!(waiter, Waiter::Caller(_)) => {
                let expires_at = self.reply_expiry(now, FETCH_TIMEOUT_MS);
                self.forward(waiter, &owner.id.name, expires_at, out, |request| {
                    PeerMessage::Fetch { request, wait, key }
                });
            }
            Acceptance::Unknown => self.rebuild(now, waiter, key, None, out),
            Acceptance::Yes => {
                let refusal = Refusal::not_run(RefusalReason::NotFound);
                self.refuse(&waiter, refusal, out);
            }
            _ => {
                let refusal = Refusal::unknown(RefusalReason::NotFound);
                self.refuse(&waiter, refusal.retry_after_ms(ROSTER_RETRY_AFTER_MS), out);
            }
        }
    }

    /// Handles the reply of an owner to a forwarded request.
    pub(super) fn on_reply(&mut self, request: u64, reply: Reply, out: &mut Vec<EntryEffect>) {
        let forwarded = self.forwards.remove(&request).map(|f| f.waiter);
        let asked = || self.key_queries.remove(&request).map(|q| q.waiter);
        match forwarded.or_else(asked) {
            Some(waiter) => self.reply(&waiter, reply, out),
            None => self.counters.unmatched_replies += 1,
        }
    }

    /// Fails the requests that were forwarded to a lost peer. They may have run there.
    pub(super) fn fail_forwards(&mut self, peer: &NodeName, out: &mut Vec<EntryEffect>) {
        let forwards = self.forwards.iter();
        for request in sorted_ids(forwards.filter(|(_, forwarded)| forwarded.peer == *peer)) {
            let Some(forwarded) = self.forwards.remove(&request) else {
                continue;
            };
            let refusal = Refusal::unknown(RefusalReason::HolderLost);
            let refusal = refusal.retry_after_ms(ROSTER_RETRY_AFTER_MS);
            self.refuse(&forwarded.waiter, refusal, out);
        }
    }

    fn reply_expiry(&self, now: Now, deadline_ms: u32) -> Moment {
        now.monotonic + Duration::from_millis(u64::from(deadline_ms + OWNER_GRACE_MS))
    }

    /// Informs callers whose owner has not replied in time that the outcome is unknown.
    pub(super) fn expire_requests(&mut self, now: Now, out: &mut Vec<EntryEffect>) {
        let is_late = |expires_at: Moment| expires_at <= now.monotonic;
        let forwards = self.forwards.iter();
        for request in sorted_ids(forwards.filter(|(_, forwarded)| is_late(forwarded.expires_at))) {
            if let Some(forwarded) = self.forwards.remove(&request) {
                let refusal = Refusal::unknown(RefusalReason::HolderLost);
                self.refuse(&forwarded.waiter, refusal, out);
            }
        }
        let key_queries = self.key_queries.iter();
        for request in sorted_ids(key_queries.filter(|(_, query)| is_late(query.expires_at))) {
            if let Some(query) = self.key_queries.remove(&request) {
                let refusal = Refusal::unknown(RefusalReason::OutcomeUnknown);
                let refusal = refusal.retry_after_ms(ROSTER_RETRY_AFTER_MS);
                self.refuse(&query.waiter, refusal, out);
            }
        }
    }

    // ---- queries to earlier owners ----

    /// Queries the first earlier owner that has not cleared the key, or accepts the submission if
    /// all have.
    fn query_earlier_owners(
        &mut self,
        now: Now,
        mut query: KeyQuery,
        owners: Vec<MemberId>,
        out: &mut Vec<EntryEffect>,
    ) {
        let is_open = |id: &MemberId| !query.cleared_by.contains(id);
        let Some(peer) = owners.into_iter().find(is_open) else {
            let KeyQuery {
                waiter,
                wait,
                submission,
                ..
            } = query;
            return self.accept(now, waiter, submission, wait, out);
        };
        self.counters.keys_asked += 1;
        let request = self.new_id();
        let message = PeerMessage::AskKey {
            request,
            version: self.membership.version(),
            key: query.submission.key,
            digest: query.submission.digest(),
            wait: query.wait,
        };
        out.push(EntryEffect::ToPeer {
            peer: peer.name.clone(),
            message,
        });
        query.peer = peer;
        self.key_queries.insert(request, query);
    }

    /// Handles the report of an earlier owner on a key.
    pub(super) fn on_key_status(
        &mut self,
        now: Now,
        request: u64,
        status: KeyStatus,
        out: &mut Vec<EntryEffect>,
    ) {
        let Some(mut query) = self.key_queries.remove(&request) else {
            self.counters.unmatched_replies += 1;
            return;
        };
        match status {
            KeyStatus::Held(reply) => self.reply(&query.waiter, reply, out),
            KeyStatus::Unknown => {
                let refusal = Refusal::unknown(RefusalReason::OutcomeUnknown);
                self.refuse(&query.waiter, refusal, out);
            }
            KeyStatus::NeverAccepted => {
                query.cleared_by.push(query.peer.clone());
                self.continue_query(now, query, out);
            }
        }
    }

    fn continue_query(&mut self, now: Now, query: KeyQuery, out: &mut Vec<EntryEffect>) {
        let key = query.submission.key;
        // Another submission of the key may have been accepted while the query was open.
        let is_absent = self.ledger.find(key) == Lookup::Absent;
        match self.membership.acceptance(now, key) {
            Acceptance::Ask(owners) if is_absent => {
                self.query_earlier_owners(now, query, owners, out)
            }
            _ => self.submit(now, query.waiter, query.submission, query.wait, out),
        }
    }

    /// Repeats all open queries after a change of the roster, since they were made under the old
    /// roster.
    pub(super) fn restart_all_queries(&mut self, now: Now, out: &mut Vec<EntryEffect>) {
        self.restart_queries(now, |_| true, out);
    }

    /// Repeats the queries that a lost peer can no longer answer.
    pub(super) fn restart_queries_to(
        &mut self,
        now: Now,
        peer: &MemberId,
        out: &mut Vec<EntryEffect>,
    ) {
        let lost = peer.clone();
        self.restart_queries(now, move |query| query.peer == lost, out);
    }

    fn restart_queries(
        &mut self,
        now: Now,
        which: impl Fn(&KeyQuery) -> bool,
        out: &mut Vec<EntryEffect>,
    ) {
        let key_queries = self.key_queries.iter();
        for request in sorted_ids(key_queries.filter(|(_, query)| which(query))) {
            if let Some(query) = self.key_queries.remove(&request) {
                self.submit(now, query.waiter, query.submission, query.wait, out);
            }
        }
    }

    /// Answers the query of a new owner for a key that this entry may have owned earlier.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_key_query(
        &mut self,
        peer: &NodeName,
        request: u64,
        version: u64,
        key: SubmissionKey,
        digest: u128,
        wait: bool,
        out: &mut Vec<EntryEffect>,
    ) {
        let status = match self.ledger.look_up(key, digest) {
            Lookup::Absent if self.membership.has_adopted(version) => KeyStatus::NeverAccepted,
            Lookup::Absent => KeyStatus::Unknown,
            Lookup::Reused => {
                let refusal = Refusal::not_run(RefusalReason::KeyReused);
                KeyStatus::Held(Reply::Refused(refusal))
            }
            Lookup::Finished(answer) => {
                KeyStatus::Held(Reply::Answered(Arc::unwrap_or_clone(answer)))
            }
            Lookup::Active if !wait => {
                let (done, count) = self.dispatcher.progress(key).unwrap_or_default();
                KeyStatus::Held(Reply::Pending { done, count })
            }
            Lookup::Active => {
                // The querying entry gets the answer when the submission ends.
                let waiter = Waiter::Peer {
                    peer: peer.clone(),
                    request,
                };
                self.waiters.entry(key).or_default().push(waiter);
                return;
            }
        };
        let message = PeerMessage::KeyKnown { request, status };
        let peer = peer.clone();
        out.push(EntryEffect::ToPeer { peer, message });
    }

    pub(super) fn is_only_member(&self) -> bool {
        self.membership
            .roster()
            .is_none_or(|roster| roster.members.len() <= 1)
    }
}

/// Returns the ids of open requests in ascending order, because the iteration order of a `HashMap`
/// differs between runs.
fn sorted_ids<'a, T: 'a>(open: impl Iterator<Item = (&'a u64, &'a T)>) -> Vec<u64> {
    let mut requests: Vec<u64> = open.map(|(request, _)| *request).collect();
    requests.sort_unstable();
    requests
}
