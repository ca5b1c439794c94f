use std::collections::HashMap;
use std::sync::Arc;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use log::debug;
use mastknot_core::job::{
    CancelOutcome, ConfigDocument, EntryOrder, JobAnswer, LearnedProfile, SideReport,
};
use mastknot_core::profile::ProfileOffer;
use mastknot_core::scheduler::{
    CallerId, CancelRequest, JobScheduler, SchedulerCounters, SchedulerEffect, SchedulerEvent,
    SessionId,
};
use mastknot_core::types::Moment;
use mastknot_runtime::{Clock, Ticker, counters_text};
use mastknot_wire::LinkSender;
use tokio::sync::{mpsc, oneshot, watch};

use super::job_logs::log_decision;
use super::job_metrics::JobMetrics;

/// Parts from which the actor is started.
pub(super) struct JobActorParts {
    pub(super) core: JobScheduler,
    pub(super) clock: Clock,
    pub(super) documents: mpsc::UnboundedSender<ConfigDocument>,
    pub(super) has_side: watch::Sender<bool>,
}

/// An open link to a side; dropping the value closes the link.
struct OpenLink {
    sender: LinkSender<EntryOrder>,
    _closed: oneshot::Sender<()>,
}

/// Actor that owns the scheduler of an entry and carries out the scheduler's effects.
pub(super) struct JobActor {
    parts: JobActorParts,
    ticker: Ticker,
    links: HashMap<SessionId, OpenLink>,
    callers: HashMap<CallerId, oneshot::Sender<JobAnswer>>,
    cancels: HashMap<CallerId, oneshot::Sender<CancelOutcome>>,
    metrics: JobMetrics,
}

/// Message with one event for the core.
pub(super) struct JobInput(pub(super) SchedulerEvent);

/// Message with a caller's job and the channel for its answer.
pub(super) struct JobSubmit {
    pub(super) caller: CallerId,
    pub(super) event: SchedulerEvent,
    pub(super) answer: oneshot::Sender<JobAnswer>,
}

/// Message with a caller's request to cancel a job and the channel for its outcome.
pub(super) struct JobCancelled {
    pub(super) caller: CallerId,
    pub(super) cancel: CancelRequest,
    pub(super) outcome: oneshot::Sender<CancelOutcome>,
}

/// Message that a link to a side is open.
pub(super) struct JobLinkUp {
    pub(super) session: SessionId,
    pub(super) sender: LinkSender<EntryOrder>,
    pub(super) closed: oneshot::Sender<()>,
}

/// Message with reports of a side that arrived together.
pub(super) struct JobReports {
    pub(super) session: SessionId,
    pub(super) reports: Vec<SideReport>,
}

/// Message that a link has closed.
pub(super) struct JobLinkDown {
    pub(super) session: SessionId,
}

/// Request for the number of jobs of a queue of which no task has started.
pub(super) struct GetPending(pub(super) String);

/// Request for all metrics in the Prometheus text format.
pub(super) struct GetJobMetrics;

/// Request for the entry's [`JobReport`].
pub(super) struct GetJobReport;

/// Request for the [`ProfileOffer`] of the entry, given the profile that is known to be stored.
pub(super) struct GetProfileOffer(pub(super) Option<Arc<LearnedProfile>>);

/// Figures of an entry that operators read.
#[derive(Clone, Debug, kameo::Reply, serde::Serialize)]
pub struct JobReport {
    /// Number of jobs without an answer.
    pub open_jobs: usize,
    /// Number of jobs of which a task waits for capacity.
    pub waiting_jobs: usize,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Number of halls that operators have drained.
    pub drained_halls: usize,
    /// Number of runs of this entry that continue in drained halls.
    pub runs_in_drained_halls: usize,
    /// Revision of the weights of halls; 0 if there are none.
    pub share_revision: u64,
    /// Number of cancelled jobs of which a request may still be in transit.
    pub cancelled_jobs: usize,
    /// Number of cancelled jobs that were forgotten too early, because too many were cancelled.
    pub cancelled_jobs_dropped: u64,
    /// Number of links to sides.
    pub links: usize,
    /// Number of links to sides that are used for starts.
    pub active_links: usize,
    /// Counts of the scheduler's events since the start.
    pub counters: SchedulerCounters,
}

impl Actor for JobActor {
    type Args = JobActorParts;
    type Error = std::convert::Infallible;

    async fn on_start(parts: Self::Args, me: ActorRef<Self>) -> Result<Self, Self::Error> {
        let ticker = Ticker::start(parts.clock, move || {
            let me = me.clone();
            async move {
                let _ = me.tell(JobInput(SchedulerEvent::Tick)).await;
            }
        });
        Ok(Self {
            parts,
            ticker,
            links: HashMap::new(),
            callers: HashMap::new(),
            cancels: HashMap::new(),
            metrics: JobMetrics::new(),
        })
    }
}

impl Message<JobInput> for JobActor {
    type Reply = ();

    async fn handle(&mut self, input: JobInput, _: &mut Context<Self, Self::Reply>) {
        if let SchedulerEvent::Abandon { caller } = &input.0 {
            self.callers.remove(caller);
        }
        self.step(input.0);
    }
}

impl Message<JobSubmit> for JobActor {
    type Reply = ();

    async fn handle(&mut self, submit: JobSubmit, _: &mut Context<Self, Self::Reply>) {
        self.callers.insert(submit.caller, submit.answer);
        self.step(submit.event);
    }
}

impl Message<JobCancelled> for JobActor {
    type Reply = ();

    async fn handle(&mut self, message: JobCancelled, _: &mut Context<Self, Self::Reply>) {
        let JobCancelled {
            caller,
            cancel,
            outcome,
        } = message;
        self.cancels.insert(caller, outcome);
        self.step(SchedulerEvent::Cancel { caller, cancel });
    }
}

impl Message<JobLinkUp> for JobActor {
    type Reply = ();

    async fn handle(&mut self, up: JobLinkUp, _: &mut Context<Self, Self::Reply>) {
        let link = OpenLink {
            sender: up.sender,
            _closed: up.closed,
        };
        self.links.insert(up.session, link);
    }
}

impl Message<JobReports> for JobActor {
    type Reply = ();

    async fn handle(&mut self, input: JobReports, _: &mut Context<Self, Self::Reply>) {
        if !self.links.contains_key(&input.session) {
            return;
        }
        let JobReports { session, reports } = input;
        self.step(SchedulerEvent::FromSide { session, reports });
    }
}

impl Message<JobLinkDown> for JobActor {
    type Reply = ();

    async fn handle(&mut self, down: JobLinkDown, _: &mut Context<Self, Self::Reply>) {
        let session = down.session;
        self.links.remove(&session);
        self.step(SchedulerEvent::LinkDown { session });
    }
}

impl Message<GetPending> for JobActor {
    type Reply = usize;

    async fn handle(&mut self, request: GetPending, _: &mut Context<Self, Self::Reply>) -> usize {
        self.parts.core.pending(&request.0)
    }
}

impl Message<GetProfileOffer> for JobActor {
    type Reply = Option<ProfileOffer>;

    async fn handle(
        &mut self,
        request: GetProfileOffer,
        _: &mut Context<Self, Self::Reply>,
    ) -> Option<ProfileOffer> {
        let wall = self.parts.clock.now().wall;
        self.parts.core.profile_offer(request.0.as_deref(), wall)
    }
}

impl Message<GetJobReport> for JobActor {
    type Reply = JobReport;

    async fn handle(&mut self, _: GetJobReport, _: &mut Context<Self, Self::Reply>) -> JobReport {
        self.report()
    }
}

impl Message<GetJobMetrics> for JobActor {
    type Reply = String;

    async fn handle(&mut self, _: GetJobMetrics, _: &mut Context<Self, Self::Reply>) -> String {
        let report = self.report();
        counters_text(&report) + &self.metrics.text()
    }
}

impl JobActor {
    fn report(&self) -> JobReport {
        let core = &self.parts.core;
        JobReport {
            open_jobs: core.open_jobs(),
            waiting_jobs: core.waiting_jobs(),
            config_version: core.document_version(),
            drained_halls: core.drained_halls().halls.len(),
            runs_in_drained_halls: core.runs_in_drained_halls(),
            share_revision: core.share_weights().revision,
            cancelled_jobs: core.cancelled_jobs_held(),
            cancelled_jobs_dropped: core.cancelled_jobs_dropped(),
            links: self.links.len(),
            active_links: core.active_links(),
            counters: *core.counters(),
        }
    }

    /// Passes an event to the core, carries out the effects and sets the next tick.
    fn step(&mut self, event: SchedulerEvent) {
        let now = self.parts.clock.monotonic();
        let effects = self.parts.core.step(now, event);
        for effect in effects {
            self.carry_out(now, effect);
        }
        self.ticker.set(self.parts.core.next_tick());
        let has_side = self.parts.core.has_ready_side();
        self.parts
            .has_side
            .send_if_modified(|held| std::mem::replace(held, has_side) != has_side);
    }

    fn carry_out(&mut self, now: Moment, effect: SchedulerEffect) {
        match effect {
            SchedulerEffect::Send { session, order } => self.send(session, order),
            SchedulerEffect::Close { session } => {
                self.links.remove(&session);
            }
            SchedulerEffect::Answer { caller, answer } => {
                if let Some(waiting) = self.callers.remove(&caller) {
                    let _ = waiting.send(answer);
                }
            }
            SchedulerEffect::AnswerCancel { caller, outcome } => {
                // The caller may have left: its cancel is carried out all the same.
                if let Some(waiting) = self.cancels.remove(&caller) {
                    let _ = waiting.send(outcome);
                }
            }
            SchedulerEffect::Document(document) => {
                let _ = self.parts.documents.send(document);
            }
            SchedulerEffect::Decided(decision) => {
                self.metrics.record(now, &decision);
                log_decision(&decision);
            }
        }
    }

    fn send(&mut self, session: SessionId, order: EntryOrder) {
        let Some(link) = self.links.get(&session) else {
            return;
        };
        if let Err(error) = link.sender.send(order) {
            debug!(session = session.0; "order to a side not sent: {error}");
            self.links.remove(&session);
        }
    }
}
