//! Bounded log of decisions and the rules behind them.

mod decision_log;
mod decision_record;

pub use decision_log::DecisionLog;
pub use decision_record::{Decision, Rule};
