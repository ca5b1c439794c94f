//! The operators' resource interface over HTTP.

mod operator_api;
mod resource;
mod watches;

pub(crate) use operator_api::OperatorApi;
