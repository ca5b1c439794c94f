//! Stand-in for a worker: runs tasks by sleeping and records every actual start.

mod faults;
mod start_record;
mod worker_stand_in;

pub use faults::WorkerFaults;
pub use start_record::StartRecord;
pub use worker_stand_in::WorkerStandIn;
