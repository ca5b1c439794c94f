//! The actor that owns the entry's core.

mod entry_actor;
mod items;
mod links;
mod live;
mod members;
mod messages;
mod requests;

pub(crate) use entry_actor::{EntryActor, EntryParts, Shared};
pub(crate) use messages::{
    Ask, Explain, FromPeer, FromSide, GetItem, GetLive, Input, IssueKeys, Items, LinkDown,
    ListItems, Live, LiveKind, PeerUp, SideUp, Submit,
};
