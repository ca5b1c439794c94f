//! Client of the interfaces that an entry offers to callers and operators.
//!
//! This crate has no feature flags.

mod answer;
mod client;
mod error;
mod watch;

pub use answer::Answer;
pub use client::Client;
pub use error::ClientError;
pub use watch::Watch;
