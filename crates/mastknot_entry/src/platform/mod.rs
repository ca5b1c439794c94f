//! Access of an entry to the platform's store and VM list.

mod config_feed;
mod resource_writer;
mod roster_store;
mod vm_feed;

pub(crate) use config_feed::{CONFIG_PREFIX, feed_config};
pub(crate) use resource_writer::{WriteOutcome, write_resource};
pub(crate) use roster_store::{read_roster, write_roster};
pub(crate) use vm_feed::feed_vms;
