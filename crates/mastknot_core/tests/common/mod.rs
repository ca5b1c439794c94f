//! Test fixtures: the state machines of an entry and of a side, with helpers that feed them events.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod entry;
pub mod side;
