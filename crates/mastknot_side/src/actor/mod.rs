//! Actor that owns the core of a side, with its links to entries.

mod links;
mod side_actor;

pub(crate) use side_actor::{Finished, GetReport, Input, Inputs, LinkUp, SideActor, SideParts};
