//! Transfer of the configuration between processes: the document is large and the same for all of
//! them.
//!
//! Links announce versions only. A process that lacks a version requests it from one other process,
//! in parts that are small relative to the bandwidth of its link, so that heartbeats never wait
//! behind a document. Sending the document unrequested over each link fills bandwidth-limited links
//! for longer than a lease: 62 sides, 350 KB and 25 Mbit/s take seven seconds
//! (`configuration_growth.rs`).
//!
//! - [`DocumentFetch`]: the versions that others offer, and the transfer in progress
//! - [`DocumentServer`]: the requests of others, answered at a bounded rate
//! - [`LinkRate`]: the bandwidth of a link, and the resulting size of a part

mod document_fetch;
mod document_server;
mod link_rate;

pub use document_fetch::DocumentFetch;
pub use document_server::DocumentServer;
pub use link_rate::LinkRate;
