//! HTTP server, clients and bodies, built on `hyper`.
//!
//! Callers of a server may be strangers: what they can make it hold is limited by [`ServerLimits`].

mod accepted;
mod answer_body;
mod answer_tracking;
mod body_error;
mod client;
mod connection;
mod connection_state;
mod connection_table;
mod deadline;
mod http_counts;
mod limits;
mod metered_stream;
mod peer_client;
mod read_turns;
mod refusal;
mod request_account;
mod request_body;
mod request_parts;
mod response_body;
mod server;

pub use accepted::set_up_accepted;
pub use answer_body::read_body;
pub use body_error::BodyError;
pub use client::{HttpClient, plain_client};
pub use http_counts::{CloseReason, HttpCounts};
pub use limits::{RequestLimits, ServerLimits};
pub use peer_client::PeerClient;
pub use request_account::{ChargedBytes, NoMemory, RequestAccount};
pub use request_body::{RequestBody, read_request};
pub use request_parts::RequestParts;
pub use response_body::{
    ResponseBody, empty_response, json_response, stream_response, text_response,
};
pub use server::HttpServer;
