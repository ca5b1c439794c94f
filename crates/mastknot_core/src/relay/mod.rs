//! How processes pass on what is large and the same for all: the configuration.
//!
//! Links announce versions only. Who lacks a version asks one other process for it, in parts that are small
//! against what its link carries, so that heartbeats never wait behind a document. A document that was sent
//! unasked over each link filled thin links for longer than a lease: 62 sides, 350 KB and 25 Mbit/s made seven
//! seconds (`configuration_growth.rs`).
//!
//! - [`DocumentFetch`]: what others have, and the transfer that is under way
//! - [`DocumentServer`]: the requests of others, answered at a bounded rate
//! - [`LinkRate`]: what a link carries, and so how large a part may be

mod document_fetch;
mod document_server;
mod link_rate;

pub use document_fetch::DocumentFetch;
pub use document_server::DocumentServer;
pub use link_rate::LinkRate;
