//! Output of results as tables, JSON or text.

mod table;

pub(crate) use table::print_table;

use std::io::{ErrorKind, Write};

use serde_json::Value;

/// Prints a JSON value, indented.
pub(crate) fn print_json(value: &Value) {
    println!("{value:#}");
}

/// Writes text to standard output. A closed pipe is not an error, so that the output can be piped
/// to commands such as `head`.
pub(crate) fn print_text(text: &str) -> std::io::Result<()> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
        result => result,
    }
}
