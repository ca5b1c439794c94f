//! Framed bincode messages over h2 streams between the processes of mastknot.
//!
//! One link is one TCP connection with one h2 stream: the dialer's request body carries its
//! messages, the response body the other end's. Each message is a length of four bytes (big
//! endian) and its bincode bytes. Messages that queue up together go out as one h2 data frame.
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
