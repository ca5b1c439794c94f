//! The actor that owns the side's core.

mod links;
mod side_actor;

pub(crate) use side_actor::{Finished, GetReport, Input, Inputs, LinkUp, SideActor, SideParts};
