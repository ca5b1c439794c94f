//! Actor that owns the core of an entry, with its messages and links.

mod entry_actor;
mod items;
mod links;
mod live;
mod members;
mod messages;
mod requests;

pub(crate) use entry_actor::{EntryActor, EntryParts, Shared};
pub(crate) use messages::{
    Explain, FromPeer, FromSide, GetHello, GetItem, GetLive, Input, IssueKeys, Items, LinkDown,
    ListItems, Live, LiveKind, PeerUp, SideUp, Submit,
};
