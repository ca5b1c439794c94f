use std::sync::atomic::{AtomicU64, Ordering};

use kameo::actor::ActorRef;
use mastknot_core::message::{EntryMessage, PeerMessage, SideMessage};
use mastknot_core::roster::Member;
use mastknot_wire::{Link, LinkError};

use crate::actor::{EntryActor, FromPeer, FromSide, GetHello, LinkDown, PeerUp, SideUp};

/// Identifier of the next link of this process.
static NEXT_LINK: AtomicU64 = AtomicU64::new(1);

/// Description of this entry that is sent at the start of a link.
#[derive(Clone, Debug, kameo::Reply)]
pub(crate) struct Hello {
    pub(crate) member: Member,
    pub(crate) roster_version: u64,
    pub(crate) config_version: u64,
    /// Addresses of all entries, this one included.
    pub(crate) entries: Vec<String>,
}

/// Serves the link to a side until the link closes.
pub(crate) async fn serve_side(
    actor: &ActorRef<EntryActor>,
    mut link: Link<EntryMessage, SideMessage>,
) -> Result<(), LinkError> {
    let id = NEXT_LINK.fetch_add(1, Ordering::Relaxed);
    let Ok(me) = actor.ask(GetHello).await else {
        return Ok(());
    };
    link.sender.send(EntryMessage::Welcome {
        entry: me.member.id.name,
        incarnation: me.member.id.incarnation,
        entries: me.entries,
    })?;
    let Some(SideMessage::Hello(hello)) = link.receiver.receive().await? else {
        return Ok(());
    };
    let (side, incarnation) = (hello.side.clone(), hello.incarnation);
    let up = SideUp {
        hello,
        link: id,
        sender: link.sender,
    };
    let _ = actor.tell(up).await;
    let result = loop {
        match link.receiver.receive_many().await {
            Ok(Some(messages)) => {
                let from = FromSide {
                    side: side.clone(),
                    incarnation,
                    messages,
                };
                if actor.tell(from).await.is_err() {
                    break Ok(());
                }
            }
            Ok(None) => break Ok(()),
            Err(error) => break Err(error),
        }
    };
    let down = LinkDown::Side {
        side,
        incarnation,
        link: id,
    };
    let _ = actor.tell(down).await;
    result
}

/// Serves the link to a peer until the link closes.
pub(crate) async fn serve_peer(
    actor: &ActorRef<EntryActor>,
    mut link: Link<PeerMessage, PeerMessage>,
) -> Result<(), LinkError> {
    let id = NEXT_LINK.fetch_add(1, Ordering::Relaxed);
    let Ok(me) = actor.ask(GetHello).await else {
        return Ok(());
    };
    link.sender.send(PeerMessage::Hello {
        member: me.member,
        roster_version: me.roster_version,
        config_version: me.config_version,
    })?;
    let Some(PeerMessage::Hello {
        member,
        roster_version,
        config_version,
    }) = link.receiver.receive().await?
    else {
        return Ok(());
    };
    let peer = member.id.clone();
    let up = PeerUp {
        member,
        roster_version,
        config_version,
        link: id,
        sender: link.sender,
    };
    let _ = actor.tell(up).await;
    let result = loop {
        match link.receiver.receive_many().await {
            Ok(Some(messages)) => {
                let from = FromPeer {
                    peer: peer.clone(),
                    messages,
                };
                if actor.tell(from).await.is_err() {
                    break Ok(());
                }
            }
            Ok(None) => break Ok(()),
            Err(error) => break Err(error),
        }
    };
    let _ = actor.tell(LinkDown::Peer { peer, link: id }).await;
    result
}
