use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::actor::{ActorRef, Spawn};
use mastknot_core::agent::{AgentEvent, AgentSettings, TargetAgent, TargetReport};
use mastknot_core::job::{KnownEntry, TargetId, TargetProfile};
use mastknot_runtime::Clock;
use mastknot_wire::{LinkStats, log_link_traffic};
use tokio::sync::watch;

use super::TargetPort;
use super::agent_actor::{
    AgentActor, AgentActorParts, AgentInput, AgentReport, GetAgentMetrics, GetAgentReport,
};

/// What an [`AgentNode`] is made of.
pub struct AgentParts<P> {
    /// How its core is set up.
    pub settings: AgentSettings,
    /// The process's clock.
    pub clock: Clock,
    /// How it speaks to its target.
    pub port: P,
    /// The entries that are dialed first.
    pub first_entries: Vec<SocketAddr>,
}

/// A running side that runs sized tasks under leases.
pub struct AgentNode<P: TargetPort> {
    actor: ActorRef<AgentActor<P>>,
    stats: Arc<LinkStats>,
    drained: watch::Receiver<bool>,
    profiles: watch::Receiver<Option<TargetProfile>>,
}

impl<P: TargetPort> Clone for AgentNode<P> {
    fn clone(&self) -> Self {
        Self {
            actor: self.actor.clone(),
            stats: Arc::clone(&self.stats),
            drained: self.drained.clone(),
            profiles: self.profiles.clone(),
        }
    }
}

impl<P: TargetPort> AgentNode<P> {
    /// Starts it.
    pub fn start(parts: AgentParts<P>) -> Self {
        let stats: Arc<LinkStats> = Arc::default();
        tokio::spawn(log_link_traffic(Arc::clone(&stats)));
        let (drained_sender, drained) = watch::channel(false);
        let (profile_sender, profiles) = watch::channel(None);
        let parts = AgentActorParts {
            core: TargetAgent::new(parts.settings),
            clock: parts.clock,
            port: parts.port,
            stats: Arc::clone(&stats),
            drained: drained_sender,
            first_entries: parts.first_entries,
            profiles: profile_sender,
        };
        let actor = AgentActor::spawn_with_mailbox(parts, kameo::mailbox::unbounded());
        Self {
            actor,
            stats,
            drained,
            profiles,
        }
    }

    /// The target reported itself; returns when that is taken in.
    pub async fn target_reported(&self, report: TargetReport) {
        let event = AgentEvent::TargetReported(report);
        let _ = self.actor.ask(AgentInput(event)).await;
    }

    /// The store remembers what the target once said of itself.
    pub async fn target_remembered(&self, profile: TargetProfile) {
        let event = AgentEvent::TargetRemembered(profile);
        let _ = self.actor.tell(AgentInput(event)).await;
    }

    /// What the target says of itself, each time another life of it reports.
    pub fn profiles(&self) -> watch::Receiver<Option<TargetProfile>> {
        self.profiles.clone()
    }

    /// The target has left by plan.
    pub async fn target_left(&self, target: TargetId) {
        let _ = self
            .actor
            .ask(AgentInput(AgentEvent::TargetLeft { target }))
            .await;
    }

    /// Entries were found outside of any link.
    pub async fn learn_entries(&self, entries: Vec<KnownEntry>) {
        let _ = self
            .actor
            .tell(AgentInput(AgentEvent::EntriesFound(entries)))
            .await;
    }

    /// What operators may read.
    pub async fn report(&self) -> Option<AgentReport> {
        self.actor.ask(GetAgentReport).await.ok()
    }

    /// All figures in Prometheus' text form.
    pub async fn metrics_text(&self) -> Option<String> {
        let own = self.actor.ask(GetAgentMetrics).await.ok()?;
        Some(self.stats.text() + &own)
    }

    /// What went over its links.
    pub fn stats(&self) -> &LinkStats {
        &self.stats
    }

    /// Takes nothing new and waits until nothing runs, at most for `limit`.
    pub async fn drain(&self, limit: Duration) -> bool {
        let _ = self.actor.ask(AgentInput(AgentEvent::Stop)).await;
        let mut drained = self.drained.clone();
        let waited = tokio::time::timeout(limit, drained.wait_for(|is_drained| *is_drained));
        waited.await.is_ok()
    }
}
