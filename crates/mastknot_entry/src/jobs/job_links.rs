//! Taking the links of sides.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kameo::actor::ActorRef;
use log::debug;
use mastknot_core::job::{EntryOrder, SideReport};
use mastknot_core::scheduler::SessionId;
use mastknot_wire::{Accepted, Link, LinkError, LinkStats, accept};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use super::job_actor::{JobActor, JobLinkDown, JobLinkUp, JobReports};

/// How long to wait after the operating system gave no connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

static NEXT_SESSION: AtomicU64 = AtomicU64::new(1);

/// Takes the links of sides as long as the actor lives.
pub(super) async fn listen(
    listener: TcpListener,
    actor: ActorRef<JobActor>,
    stats: Arc<LinkStats>,
) {
    let mut links = JoinSet::new();
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let actor = actor.clone();
        let stats = Arc::clone(&stats);
        links.spawn(async move {
            if let Err(error) = serve(stream, &actor, stats).await {
                debug!(from:%; "link ended: {error}");
            }
        });
        while links.try_join_next().is_some() {}
    }
}

async fn serve(
    stream: TcpStream,
    actor: &ActorRef<JobActor>,
    stats: Arc<LinkStats>,
) -> Result<(), LinkError> {
    match accept(stream, stats).await? {
        Accepted::Agent(link) => serve_agent(actor, link).await,
        // This entry runs sized tasks only.
        Accepted::Side(_) | Accepted::Peer(_) => Ok(()),
    }
}

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
    let take = |reports| async move {
        let told = actor.tell(JobReports { session, reports }).await;
        told.is_ok()
    };
    let result = link.receiver.forward(close, take).await;
    let _ = actor.tell(JobLinkDown { session }).await;
    result
}
