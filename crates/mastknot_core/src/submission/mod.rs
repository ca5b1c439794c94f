//! The ledger of submissions, which prevents a submission from starting twice.

mod ledger;
mod ledger_settings;

pub use ledger::{Ledger, Lookup};
pub use ledger_settings::LedgerSettings;
