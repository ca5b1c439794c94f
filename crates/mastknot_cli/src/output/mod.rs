//! Printing results as tables or JSON.

mod table;

pub(crate) use table::print_table;

use serde_json::Value;

/// Prints a JSON value.
pub(crate) fn print_json(value: &Value) {
    println!("{value:#}");
}
