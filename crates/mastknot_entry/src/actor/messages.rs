use mastknot_core::entry::{CallerRequest, EntryEvent};
use mastknot_core::message::{
    ConfigItem, EntryMessage, PeerMessage, Reply, ResourceName, SideHello, SideMessage,
};
use mastknot_core::roster::{Member, MemberId};
use mastknot_core::types::{Incarnation, NodeName, SubmissionKey};
use mastknot_wire::LinkSender;
use serde_json::Value;
use tokio::sync::oneshot;

/// One event for the core.
pub(crate) struct Input(pub(crate) EntryEvent);

/// A caller's request with where its reply goes.
pub(crate) struct Submit {
    pub(crate) ask: CallerRequest,
    pub(crate) reply: oneshot::Sender<Reply>,
}

/// A side's link stands and the side said who it is.
pub(crate) struct SideUp {
    pub(crate) hello: SideHello,
    pub(crate) link: u64,
    pub(crate) sender: LinkSender<EntryMessage>,
}

/// A peer's link stands and the peer said who it is.
pub(crate) struct PeerUp {
    pub(crate) member: Member,
    pub(crate) roster_version: u64,
    pub(crate) config_version: u64,
    pub(crate) link: u64,
    pub(crate) sender: LinkSender<PeerMessage>,
}

/// Messages of one side that arrived together.
pub(crate) struct FromSide {
    pub(crate) side: NodeName,
    pub(crate) incarnation: Incarnation,
    pub(crate) messages: Vec<SideMessage>,
}

/// Messages of one peer that arrived together.
pub(crate) struct FromPeer {
    pub(crate) peer: MemberId,
    pub(crate) messages: Vec<PeerMessage>,
}

/// A link broke.
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

/// Asks for this entry as a member with its versions, for saying hello to a peer.
pub(crate) struct Ask;

/// Which live resources are asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LiveKind {
    Jobs,
    Targets,
    Entries,
    Decisions { after: u64 },
    Status,
    Counters,
}

/// Asks for live resources.
pub(crate) struct GetLive(pub(crate) LiveKind);

/// Live resources as JSON.
#[derive(Debug, kameo::Reply)]
pub(crate) struct Live(pub(crate) Value);

/// Asks for new keys that this entry holds.
pub(crate) struct IssueKeys(pub(crate) usize);

/// Asks for all decisions about a submission.
pub(crate) struct Explain(pub(crate) SubmissionKey);

/// Asks for one stored resource as it is in force here.
pub(crate) struct GetItem(pub(crate) ResourceName);

/// Asks for the stored resources of a kind that changed after a version, deletions included.
pub(crate) struct ListItems {
    pub(crate) kind: String,
    pub(crate) after: u64,
}

/// Stored resources, with the version in force.
#[derive(Debug, kameo::Reply)]
pub(crate) struct Items {
    pub(crate) version: u64,
    pub(crate) items: Vec<ConfigItem>,
}
