//! The built binaries as processes of their own, started, watched and ended by their ids.
//!
//! Only this tool starts processes; no process of the product starts another.

mod entry_process;
mod managed;
mod settle;
mod side_process;

pub(crate) use entry_process::EntryProcess;
pub(crate) use managed::Signal;
pub(crate) use settle::settle;
pub(crate) use side_process::SideProcess;

use std::net::{SocketAddr, TcpListener};

use snafu::ResultExt;

use crate::error::{IoSnafu, LoadError};

/// An address on loopback whose port is free now.
pub(crate) fn free_address() -> Result<SocketAddr, LoadError> {
    let listener = TcpListener::bind("127.0.0.1:0").context(IoSnafu {
        what: "a free port",
    })?;
    listener.local_addr().context(IoSnafu {
        what: "a free port",
    })
}
