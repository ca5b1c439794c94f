//! Framed bincode messages over h2 streams between the processes of mastknot.
//!
//! Each link is a TCP connection with one h2 stream. The request body carries the messages of the
//! process that dialed, the response body those of the other end. Each message is sent as a length
//! of four bytes (big endian) and its bincode bytes. Messages that are queued at the same time are
//! sent in one h2 data frame.
//!
//! This crate has no feature flags.

mod error;
mod frame;
mod link;

pub use error::LinkError;
pub use frame::{
    FrameDecoder, MAX_FRAME_BYTES, MessageKind, WireMessage, decode_message, encode_frame,
};
pub use link::{
    Accepted, Link, LinkKind, LinkReceiver, LinkSender, LinkStats, accept, connect,
    log_link_traffic,
};
