//! HTTP client of a side's target.

mod target_client;

pub(crate) use target_client::TargetClient;
