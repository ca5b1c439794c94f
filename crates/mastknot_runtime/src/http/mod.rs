//! HTTP server, clients and bodies, built on `hyper`.
//!
//! Callers of a server may be strangers: their connections and requests are limited by [`ServerLimits`].

mod accepted;
mod answer_tracking;
mod body;
mod client;
mod connection;
mod connection_state;
mod connection_table;
mod deadline;
mod http_counts;
mod limits;
mod metered_stream;
mod peer_client;
mod refusal;
mod request_account;
mod request_parts;
mod server;

pub use accepted::set_up_accepted;
pub use body::{
    BodyError, ResponseBody, empty_response, json_response, read_body, stream_response,
    text_response,
};
pub use client::{HttpClient, plain_client};
pub use http_counts::{CloseReason, HttpCounts};
pub use limits::{RequestLimits, ServerLimits};
pub use peer_client::PeerClient;
pub use request_account::RequestAccount;
pub use request_parts::RequestParts;
pub use server::HttpServer;
