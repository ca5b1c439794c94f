//! Small value types that all cores share.

mod expiring_map;
mod hall;
mod incarnation;
mod moment;
mod node_name;
mod stable_hash;
mod submission_key;
mod task_id;
mod wall_time;

pub use expiring_map::ExpiringMap;
pub use hall::Hall;
pub use incarnation::Incarnation;
pub use moment::Moment;
pub use node_name::NodeName;
pub use stable_hash::{mix_bits, pair_rank, stable_hash, stable_hash_of};
pub use submission_key::{KeyError, SubmissionKey};
pub use task_id::TaskId;
pub use wall_time::WallTime;

/// Readings of both clocks, taken by the process that calls a core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Reading of the process's own monotonic clock; all leases and expiry times use it.
    pub monotonic: Moment,
    /// Reading of the wall clock; only the age of submission keys uses it.
    pub wall: WallTime,
}
