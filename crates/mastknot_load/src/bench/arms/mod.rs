//! Arms of a comparison and the simulations that run them.

mod arm;
mod credits;
mod pushed;

pub use arm::{Arm, Baseline};
pub(super) use credits::{CreditsRun, run_credits};
pub(super) use pushed::run_pushed;
