//! What grows with entries times sides: messages, bytes, steps and processor time of the cores, in virtual time.

mod plot;
mod run;

pub use plot::draw_scale;
pub use run::measure_scale;

use serde::Serialize;

/// Numbers of entries and sides.
const SIZES: [(usize, usize); 4] = [(4, 11), (11, 66), (24, 120), (55, 240)];

/// How the cost of a size is measured.
#[derive(Clone, Copy, Debug)]
pub struct ScalePlan {
    /// How long each point is measured, in virtual seconds.
    pub seconds: u64,
    /// Jobs handed in for each side, a second.
    pub jobs_per_side: f64,
    /// The bandwidth of an entry's link, in Mbit/s.
    pub link_mbps: u64,
    /// The length of the configuration that is published, in bytes.
    pub version_bytes: usize,
}

/// Which links an entry uses for starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ScaleArm {
    /// As many as the settings say; the others are on standby.
    Usual,
    /// All of them.
    AllLinks,
}

/// The cost of one size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ScalePoint {
    /// Which links are used.
    pub arm: ScaleArm,
    /// Entries.
    pub entries: usize,
    /// Sides.
    pub sides: usize,
    /// Messages a second on one entry's link, both ways.
    pub messages_per_entry: f64,
    /// Bytes a second on one entry's link, both ways, heads of h2, TCP and IP included.
    pub bytes_per_entry: f64,
    /// Steps of one entry's core, a second: its wake-ups at most.
    pub steps_per_entry: f64,
    /// Processor time of one entry's core, in thousandths of a core.
    pub entry_core_millis: f64,
    /// Messages a second on one side's link, both ways.
    pub messages_per_side: f64,
    /// Bytes a second on one side's link, both ways.
    pub bytes_per_side: f64,
    /// Steps of one side's core, a second.
    pub steps_per_side: f64,
    /// Processor time of one side's core, in thousandths of a core.
    pub side_core_millis: f64,
    /// Bytes that a new version adds on all links together, over its own length times the nodes.
    pub version_bytes_over_nodes: f64,
    /// Jobs that were completed, as a share of those handed in.
    pub completed: f64,
}
