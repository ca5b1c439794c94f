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

/// Parts from which an [`AgentNode`] is started.
pub struct AgentParts<P> {
    /// Settings of the agent's core.
    pub settings: AgentSettings,
    /// Clock of the process.
    pub clock: Clock,
    /// Adapter by which the side calls its target.
    pub port: P,
    /// Addresses of the entries that are dialed at the start.
    pub first_entries: Vec<SocketAddr>,
}

/// A running side that runs tasks of known size on its target, under the leases of entries.
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
    /// Starts the side's actor and dials the first entries.
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

    /// Passes a report of the target about itself to the agent; returns when the agent has
    /// processed the report.
    pub async fn target_reported(&self, report: TargetReport) {
        let event = AgentEvent::TargetReported(report);
        let _ = self.actor.ask(AgentInput(event)).await;
    }

    /// Passes the profile that the store holds of the target to the agent.
    pub async fn target_remembered(&self, profile: TargetProfile) {
        let event = AgentEvent::TargetRemembered(profile);
        let _ = self.actor.tell(AgentInput(event)).await;
    }

    /// Returns a receiver of the target's profile, which changes each time another incarnation of
    /// the target reports.
    pub fn profiles(&self) -> watch::Receiver<Option<TargetProfile>> {
        self.profiles.clone()
    }

    /// Informs the agent that the target has left as planned.
    pub async fn target_left(&self, target: TargetId) {
        let _ = self
            .actor
            .ask(AgentInput(AgentEvent::TargetLeft { target }))
            .await;
    }

    /// Passes entries to the agent that were found without a link, for example in the store.
    pub async fn learn_entries(&self, entries: Vec<KnownEntry>) {
        let _ = self
            .actor
            .tell(AgentInput(AgentEvent::EntriesFound(entries)))
            .await;
    }

    /// Returns the figures of the side that operators read; `None` if the side has stopped.
    pub async fn report(&self) -> Option<AgentReport> {
        self.actor.ask(GetAgentReport).await.ok()
    }

    /// Returns all metrics in the Prometheus text format; `None` if the side has stopped.
    pub async fn metrics_text(&self) -> Option<String> {
        let node_metrics = self.actor.ask(GetAgentMetrics).await.ok()?;
        Some(self.stats.text() + &node_metrics)
    }

    /// Returns the traffic counters of the side's links.
    pub fn stats(&self) -> &LinkStats {
        &self.stats
    }

    /// Refuses new runs and waits until no run is left, at most for `timeout`; returns whether the
    /// side was drained in time.
    pub async fn drain(&self, timeout: Duration) -> bool {
        let _ = self.actor.ask(AgentInput(AgentEvent::Stop)).await;
        let mut drained = self.drained.clone();
        let waited = tokio::time::timeout(timeout, drained.wait_for(|is_drained| *is_drained));
        waited.await.is_ok()
    }
}
