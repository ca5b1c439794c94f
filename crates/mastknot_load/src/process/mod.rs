//! Starts the built binaries as separate processes and signals them by their ids.
//!
//! Only this tool starts processes: entries and sides never do.

mod child_process;
mod entry_process;
mod settle;
mod side_process;

pub(crate) use child_process::Signal;
pub(crate) use entry_process::EntryProcess;
pub(crate) use settle::settle;
pub(crate) use side_process::SideProcess;

use std::net::{SocketAddr, TcpListener};

use snafu::ResultExt;

use crate::error::{IoSnafu, LoadError};

/// Returns a loopback address whose port is free at the moment.
pub(crate) fn free_address() -> Result<SocketAddr, LoadError> {
    let listener = TcpListener::bind("127.0.0.1:0").context(IoSnafu {
        subject: "a free port",
    })?;
    listener.local_addr().context(IoSnafu {
        subject: "a free port",
    })
}
