use mastknot_core::entry::{CallerRequest, EntryEvent};
use mastknot_core::message::{
    ConfigItem, EntryMessage, PeerMessage, Reply, ResourceName, SideHello, SideMessage,
};
use mastknot_core::roster::{Member, MemberId};
use mastknot_core::types::{Incarnation, NodeName, SubmissionKey};
use mastknot_wire::LinkSender;
use serde_json::Value;
use tokio::sync::oneshot;

/// Message with one event for the core.
pub(crate) struct Input(pub(crate) EntryEvent);

/// Message with a caller's request and the channel for its reply.
pub(crate) struct Submit {
    pub(crate) ask: CallerRequest,
    pub(crate) reply: oneshot::Sender<Reply>,
}

/// Message that a link to a side is open and that the side has sent its hello.
pub(crate) struct SideUp {
    pub(crate) hello: SideHello,
    pub(crate) link: u64,
    pub(crate) sender: LinkSender<EntryMessage>,
}

/// Message that a link to a peer is open and that the peer has sent its hello.
pub(crate) struct PeerUp {
    pub(crate) member: Member,
    pub(crate) roster_version: u64,
    pub(crate) config_version: u64,
    pub(crate) link: u64,
    pub(crate) sender: LinkSender<PeerMessage>,
}

/// Message with the messages of one side that arrived together.
pub(crate) struct FromSide {
    pub(crate) side: NodeName,
    pub(crate) incarnation: Incarnation,
    pub(crate) messages: Vec<SideMessage>,
}

/// Message with the messages of one peer that arrived together.
pub(crate) struct FromPeer {
    pub(crate) peer: MemberId,
    pub(crate) messages: Vec<PeerMessage>,
}

/// Message that a link to a side or a peer has closed.
pub(crate) enum LinkDown {
    Side {
        side: NodeName,
        incarnation: Incarnation,
        link: u64,
    },
    Peer {
        peer: MemberId,
        link: u64,
    },
}

/// Request for the [`Hello`](crate::peers::Hello) that this entry sends on a new link.
pub(crate) struct GetHello;

/// Kind of live resources in a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LiveKind {
    Jobs,
    Targets,
    Entries,
    /// Decisions with a number above `after`.
    Decisions {
        after: u64,
    },
    Status,
    Counters,
}

/// Request for the live resources of a kind.
pub(crate) struct GetLive(pub(crate) LiveKind);

/// Reply in JSON: live resources, decisions or issued keys.
#[derive(Debug, kameo::Reply)]
pub(crate) struct Live(pub(crate) Value);

/// Request for a number of new keys that this entry owns.
pub(crate) struct IssueKeys(pub(crate) usize);

/// Request for all decisions about a submission.
pub(crate) struct Explain(pub(crate) SubmissionKey);

/// Request for one stored resource, as it is in force at this entry.
pub(crate) struct GetItem(pub(crate) ResourceName);

/// Request for the stored resources of a kind that changed after a version, deletions included.
pub(crate) struct ListItems {
    pub(crate) kind: String,
    pub(crate) after: u64,
}

/// Reply with stored resources and the configuration version in force.
#[derive(Debug, kameo::Reply)]
pub(crate) struct Items {
    pub(crate) version: u64,
    pub(crate) items: Vec<ConfigItem>,
}
