//! Links that sides open to an entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use kameo::actor::ActorRef;
use mastknot_core::job::{EntryOrder, SideReport};
use mastknot_core::scheduler::SessionId;
use mastknot_wire::{Accepted, Link, LinkError, LinkStats, accept};
use tokio::net::{TcpListener, TcpStream};

use super::job_actor::{JobActor, JobLinkDown, JobLinkUp, JobReports};
use crate::link_listener;

/// Identifier of the next link of this process.
static NEXT_SESSION: AtomicU64 = AtomicU64::new(1);

/// Accepts and serves the links of sides until the future is dropped.
pub(super) async fn listen(
    listener: TcpListener,
    actor: ActorRef<JobActor>,
    stats: Arc<LinkStats>,
) {
    link_listener::listen(listener, |stream| {
        serve(stream, actor.clone(), Arc::clone(&stats))
    })
    .await;
}

async fn serve(
    stream: TcpStream,
    actor: ActorRef<JobActor>,
    stats: Arc<LinkStats>,
) -> Result<(), LinkError> {
    match accept(stream, stats).await? {
        Accepted::Agent(link) => serve_agent(&actor, link).await,
        // This entry accepts only sides that run tasks of known size.
        Accepted::Side(_) | Accepted::Peer(_) => Ok(()),
    }
}

/// Passes the reports of one open link to the actor until the link closes.
async fn serve_agent(
    actor: &ActorRef<JobActor>,
    mut link: Link<EntryOrder, SideReport>,
) -> Result<(), LinkError> {
    let session = SessionId(NEXT_SESSION.fetch_add(1, Ordering::Relaxed));
    let (closed, close) = tokio::sync::oneshot::channel();
    let up = JobLinkUp {
        session,
        sender: link.sender,
        closed,
    };
    let _ = actor.tell(up).await;
    let deliver = |reports| async move {
        let delivered = actor.tell(JobReports { session, reports }).await;
        delivered.is_ok()
    };
    let result = link.receiver.forward(close, deliver).await;
    let _ = actor.tell(JobLinkDown { session }).await;
    result
}
