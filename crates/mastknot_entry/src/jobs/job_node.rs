use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kameo::actor::{ActorRef, Spawn};
use mastknot_core::job::{
    CancelOutcome, ConfigDocument, DrainedHalls, JobAnswer, JobRequest, KnownEntry, LearnedProfile,
    QueuePolicy, ShareWeights,
};
use mastknot_core::profile::ProfileOffer;
use mastknot_core::scheduler::{
    CallerId, CancelRequest, JobScheduler, SchedulerEvent, SchedulerSettings,
};
use mastknot_runtime::{Clock, PersistentStore, ProfileHolder, ProfileSettings, keep_profile};
use mastknot_wire::{LinkStats, log_link_traffic};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};

use super::job_actor::{
    GetJobMetrics, GetJobReport, GetPending, GetProfileOffer, JobActor, JobActorParts,
    JobCancelled, JobInput, JobReport, JobSubmit,
};
use super::job_links::listen;

/// Parts from which a [`JobNode`] is started.
pub struct JobParts {
    /// Settings of the scheduler.
    pub settings: SchedulerSettings,
    /// Clock of the process.
    pub clock: Clock,
    /// Listener for the links of sides.
    pub links: TcpListener,
    /// Receives the configuration documents that arrive from sides.
    pub documents: mpsc::UnboundedSender<ConfigDocument>,
}

/// A job that a caller submits.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Job to run.
    pub job: JobRequest,
    /// Policy of the job's queue in the configuration.
    pub policy: Arc<QueuePolicy>,
    /// Time that the caller waits for the answer.
    pub time_left: Duration,
}

/// A running entry that places the tasks of jobs on sides.
#[derive(Clone)]
pub struct JobNode {
    actor: ActorRef<JobActor>,
    clock: Clock,
    stats: Arc<LinkStats>,
    has_side: watch::Receiver<bool>,
    is_profile_synced: bool,
    next_caller: Arc<AtomicU64>,
}

/// Reports the caller to the scheduler as gone when the value is dropped before the answer.
struct CallerGuard {
    actor: ActorRef<JobActor>,
    caller: Option<CallerId>,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if let Some(caller) = self.caller {
            let abandon = JobInput(SchedulerEvent::Abandon { caller });
            let _ = self.actor.tell(abandon).try_send();
        }
    }
}

impl JobNode {
    /// Starts the entry's actor and the listener for the links of sides.
    pub fn start(parts: JobParts) -> Self {
        let stats: Arc<LinkStats> = Arc::default();
        let (has_side_sender, has_side) = watch::channel(false);
        let is_profile_synced = parts.settings.scarcity.profile;
        let actor_parts = JobActorParts {
            core: JobScheduler::new(parts.settings),
            clock: parts.clock,
            documents: parts.documents,
            has_side: has_side_sender,
        };
        let actor = JobActor::spawn_with_mailbox(actor_parts, kameo::mailbox::unbounded());
        tokio::spawn(log_link_traffic(Arc::clone(&stats)));
        tokio::spawn(listen(parts.links, actor.clone(), Arc::clone(&stats)));
        Self {
            actor,
            clock: parts.clock,
            stats,
            has_side,
            is_profile_synced,
            next_caller: Arc::new(AtomicU64::new(1)),
        }
    }

    /// Runs a job and returns its answer; `None` if the entry is stopping.
    ///
    /// Dropping the future abandons the job.
    pub async fn submit(&self, submission: Submission) -> Option<JobAnswer> {
        let caller = CallerId(self.next_caller.fetch_add(1, Ordering::Relaxed));
        let event = SchedulerEvent::Submit {
            caller,
            job: submission.job,
            policy: submission.policy,
            time_left: submission.time_left,
            wall: self.clock.now().wall,
        };
        let (answer, answered) = oneshot::channel();
        let submit = JobSubmit {
            caller,
            event,
            answer,
        };
        self.actor.tell(submit).await.ok()?;
        let mut guard = CallerGuard {
            actor: self.actor.clone(),
            caller: Some(caller),
        };
        let answer = answered.await.ok();
        guard.caller = None;
        answer
    }

    /// Cancels a job, at whatever entry it is. The cancel is carried out even if the future is dropped.
    pub async fn cancel(&self, cancel: CancelRequest) -> CancelOutcome {
        let caller = CallerId(self.next_caller.fetch_add(1, Ordering::Relaxed));
        let (outcome, answered) = oneshot::channel();
        let message = JobCancelled {
            caller,
            cancel,
            outcome,
        };
        if self.actor.tell(message).await.is_err() {
            return CancelOutcome::Unconfirmed;
        }
        answered.await.unwrap_or(CancelOutcome::Unconfirmed)
    }

    /// Replaces the known entries.
    pub async fn set_entries(&self, entries: Vec<KnownEntry>) {
        let _ = self
            .actor
            .tell(JobInput(SchedulerEvent::Entries(entries)))
            .await;
    }

    /// Passes a newer configuration document to the scheduler, which sends it to the sides.
    pub async fn set_document(&self, document: ConfigDocument) {
        let event = SchedulerEvent::Document(document);
        let _ = self.actor.tell(JobInput(event)).await;
    }

    /// Passes the drained halls of the operators' store to the scheduler, which sends them to the
    /// sides.
    pub async fn set_drained_halls(&self, drained: Arc<DrainedHalls>) {
        let event = SchedulerEvent::DrainedHalls(drained);
        let _ = self.actor.tell(JobInput(event)).await;
    }

    /// Starts the exchange of the learned profile with a store, if the settings enable it: the
    /// entry writes what it has learned and reads what other entries have learned.
    pub fn sync_learned_profile<S: PersistentStore>(&self, store: S, settings: ProfileSettings) {
        if self.is_profile_synced {
            tokio::spawn(keep_profile(store, self.clone(), settings));
        }
    }

    /// Passes the weights of halls of the operators' store to the scheduler, which sends them to
    /// the sides.
    pub async fn set_share_weights(&self, weights: Arc<ShareWeights>) {
        let event = SchedulerEvent::ShareWeights(weights);
        let _ = self.actor.tell(JobInput(event)).await;
    }

    /// Returns the number of jobs of a queue of which no task has started.
    pub async fn pending(&self, queue: &str) -> usize {
        self.actor
            .ask(GetPending(queue.to_owned()))
            .await
            .unwrap_or(0)
    }

    /// Returns the figures of the entry that operators read; `None` if the entry has stopped.
    pub async fn report(&self) -> Option<JobReport> {
        self.actor.ask(GetJobReport).await.ok()
    }

    /// Returns all metrics in the Prometheus text format; `None` if the entry has stopped.
    pub async fn metrics_text(&self) -> Option<String> {
        let node_metrics = self.actor.ask(GetJobMetrics).await.ok()?;
        Some(self.stats.text() + &node_metrics)
    }

    /// Returns whether at least one side is ready, for any service.
    pub fn has_side(&self) -> bool {
        *self.has_side.borrow()
    }

    /// Returns the traffic counters of the entry's links.
    pub fn stats(&self) -> &LinkStats {
        &self.stats
    }
}

impl ProfileHolder for JobNode {
    async fn offer(&self, known: Option<Arc<LearnedProfile>>) -> Option<ProfileOffer> {
        let offer = self.actor.ask(GetProfileOffer(known)).await;
        offer.ok().flatten()
    }

    async fn take(&self, profile: Arc<LearnedProfile>) {
        let wall = self.clock.now().wall;
        let event = SchedulerEvent::Learned { profile, wall };
        let _ = self.actor.tell(JobInput(event)).await;
    }
}
