//! How the cost of each role grows, one thing varied at a time.
//!
//! The role under measurement is a process of its own; the rest of the system runs inside this
//! tool.

mod bed;
mod line;
mod measure;

pub use line::{Line, Point};
pub use measure::{Slope, SlopeGroup, SlopesPlan, measure_slopes};
