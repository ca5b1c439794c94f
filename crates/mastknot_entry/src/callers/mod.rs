//! HTTP interface for callers.

mod caller_api;
mod job_request;
mod rendering;

pub(crate) use caller_api::{BadInputCounters, CallerApi};
