//! Stand-in for the key-value service.

mod faults;
mod handler;
mod state;
mod store_stand_in;

pub use faults::StoreFaults;
pub use store_stand_in::StoreStandIn;
