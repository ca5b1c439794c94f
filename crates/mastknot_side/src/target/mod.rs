//! The target of a side, called over HTTP.

mod target_client;

pub(crate) use target_client::TargetClient;
