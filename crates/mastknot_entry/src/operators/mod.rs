//! HTTP interface for operators: resources, live state and watches.

mod operator_api;
mod resource;
mod watches;

pub(crate) use operator_api::OperatorApi;
