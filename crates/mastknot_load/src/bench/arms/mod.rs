//! What is compared.

mod arm;
mod credits;
mod pushed;

pub use arm::{Arm, Baseline};
pub(super) use credits::{CreditsRun, run_credits};
pub(super) use pushed::run_pushed;
