//! Bounded records of what was decided and why.

mod decision_log;
mod decision_record;

pub use decision_log::DecisionLog;
pub use decision_record::{Decision, Rule};
