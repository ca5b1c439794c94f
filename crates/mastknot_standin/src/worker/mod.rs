//! The worker: runs tasks by sleeping, and keeps the record of true starts.

mod faults;
mod start_record;
mod worker_stand_in;

pub use faults::WorkerFaults;
pub use start_record::StartRecord;
pub use worker_stand_in::WorkerStandIn;
