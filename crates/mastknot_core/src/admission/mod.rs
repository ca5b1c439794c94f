//! What early refusal is based on.

mod start_rate;

pub use start_rate::StartRate;
