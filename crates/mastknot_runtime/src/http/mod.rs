//! HTTP server, clients and bodies, built on `hyper`.

mod accepted;
mod body;
mod client;
mod peer_client;
mod server;

pub use accepted::set_up_accepted;
pub use body::{
    BodyError, ResponseBody, empty_response, json_response, read_body, stream_response,
    text_response,
};
pub use client::{HttpClient, plain_client};
pub use peer_client::PeerClient;
pub use server::{HttpServer, RequestParts};
