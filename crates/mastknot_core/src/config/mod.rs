//! The configuration that each node holds.

mod config_replica;
mod config_write;
mod drained_hall;
mod hall_share;
mod profile;
mod service;
mod team;

pub use config_replica::{Applied, ConfigReplica};
pub use config_write::{ConfigWrite, StoredResource, WriteCall, WriteStep};
pub use drained_hall::{DRAINED_HALL_KIND, DrainedHall};
pub use hall_share::{HALL_SHARE_KIND, HallShare, HallShareError};
pub use profile::Profile;
pub use service::Service;
pub use team::Team;
