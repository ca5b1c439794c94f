//! The callers' interface over HTTP.

mod caller_api;
mod job_request;
mod rendering;

pub(crate) use caller_api::{BadInput, CallerApi};
