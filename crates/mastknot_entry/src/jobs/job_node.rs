use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kameo::actor::{ActorRef, Spawn};
use mastknot_core::job::{
    ConfigDocument, DrainedHalls, JobAnswer, JobId, JobRequest, KnownEntry, LearnedProfile,
    QueuePolicy, ShareWeights,
};
use mastknot_core::profile::ProfileOffer;
use mastknot_core::scheduler::{CallerId, JobScheduler, SchedulerEvent, SchedulerSettings};
use mastknot_runtime::{Clock, PersistentStore, ProfileHolder, ProfileSettings, keep_profile};
use mastknot_wire::{LinkStats, log_link_traffic};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};

use super::job_actor::{
    GetJobMetrics, GetJobReport, GetPending, GetProfileOffer, JobActor, JobActorParts, JobInput,
    JobReport, JobSubmit,
};
use super::job_links::listen;

/// What a [`JobNode`] is made of.
pub struct JobParts {
    /// How its core is set up.
    pub settings: SchedulerSettings,
    /// The process's clock.
    pub clock: Clock,
    /// Where sides dial it.
    pub links: TcpListener,
    /// Takes configurations that sides have heard of.
    pub documents: mpsc::UnboundedSender<ConfigDocument>,
}

/// A job that a caller hands in.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The job.
    pub job: JobRequest,
    /// What the configuration says of its queue.
    pub policy: Arc<QueuePolicy>,
    /// How long the caller waits.
    pub time_left: Duration,
}

/// A running entry that spreads the tasks of jobs.
#[derive(Clone)]
pub struct JobNode {
    actor: ActorRef<JobActor>,
    clock: Clock,
    stats: Arc<LinkStats>,
    has_side: watch::Receiver<bool>,
    keeps_profile: bool,
    next_caller: Arc<AtomicU64>,
}

/// Tells the scheduler when a caller leaves before its answer.
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
    /// Starts it.
    pub fn start(parts: JobParts) -> Self {
        let stats: Arc<LinkStats> = Arc::default();
        let (has_side_sender, has_side) = watch::channel(false);
        let keeps_profile = parts.settings.scarcity.profile;
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
            keeps_profile,
            next_caller: Arc::new(AtomicU64::new(1)),
        }
    }

    /// Runs a job; dropping the future gives the job up. None when the entry is ending.
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

    /// Cancels a job.
    pub async fn cancel(&self, job: JobId) {
        let _ = self
            .actor
            .tell(JobInput(SchedulerEvent::Cancel { job }))
            .await;
    }

    /// The entries that are known have changed.
    pub async fn set_entries(&self, entries: Vec<KnownEntry>) {
        let _ = self
            .actor
            .tell(JobInput(SchedulerEvent::Entries(entries)))
            .await;
    }

    /// A newer configuration is in force here; sides are told.
    pub async fn set_document(&self, document: ConfigDocument) {
        let event = SchedulerEvent::Document(document);
        let _ = self.actor.tell(JobInput(event)).await;
    }

    /// The operators' store has these halls as drained; sides are told.
    pub async fn set_drained_halls(&self, drained: Arc<DrainedHalls>) {
        let event = SchedulerEvent::DrainedHalls(drained);
        let _ = self.actor.tell(JobInput(event)).await;
    }

    /// Keeps what it learns in a store, and takes what others have learned from there.
    pub fn sync_learned_profile<S: PersistentStore>(&self, store: S, settings: ProfileSettings) {
        if self.keeps_profile {
            tokio::spawn(keep_profile(store, self.clone(), settings));
        }
    }

    /// The operators' store has these weights of halls; sides are told.
    pub async fn set_share_weights(&self, weights: Arc<ShareWeights>) {
        let event = SchedulerEvent::ShareWeights(weights);
        let _ = self.actor.tell(JobInput(event)).await;
    }

    /// Jobs of a queue of which nothing has begun.
    pub async fn pending(&self, queue: &str) -> usize {
        self.actor
            .ask(GetPending(queue.to_owned()))
            .await
            .unwrap_or(0)
    }

    /// What operators may read.
    pub async fn report(&self) -> Option<JobReport> {
        self.actor.ask(GetJobReport).await.ok()
    }

    /// All figures in Prometheus' text form.
    pub async fn metrics_text(&self) -> Option<String> {
        let own = self.actor.ask(GetJobMetrics).await.ok()?;
        Some(self.stats.text() + &own)
    }

    /// Whether a side stands ready for any service.
    pub fn has_side(&self) -> bool {
        *self.has_side.borrow()
    }

    /// What went over its links.
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
