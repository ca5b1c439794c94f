//! Measurements on which early refusal is based.

mod start_rate;

pub use start_rate::StartRate;
