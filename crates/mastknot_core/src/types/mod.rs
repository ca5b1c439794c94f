//! Small value types that every core shares.

mod hall;
mod incarnation;
mod moment;
mod node_name;
mod stable_hash;
mod submission_key;
mod task_id;
mod wall_time;

pub use hall::Hall;
pub use incarnation::Incarnation;
pub use moment::Moment;
pub use node_name::NodeName;
pub use stable_hash::{mix_bits, pair_rank, stable_hash, stable_hash_of};
pub use submission_key::{KeyError, SubmissionKey};
pub use task_id::TaskId;
pub use wall_time::WallTime;

/// Both clocks as read by the shell that calls a core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// The process's own monotonic clock; every lease and expiry uses it.
    pub monotonic: Moment,
    /// The wall clock; only the age of submission keys uses it.
    pub wall: WallTime,
}
