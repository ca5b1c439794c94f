use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use super::child_process::ChildProcess;
use super::free_address;
use crate::error::LoadError;

/// Entry that runs as a `mastknot-entry` process and keeps its addresses over restarts.
#[derive(Debug)]
pub(crate) struct EntryProcess {
    pub(crate) process: Option<ChildProcess>,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) links: SocketAddr,
    directory: PathBuf,
    settings: String,
}

impl EntryProcess {
    /// Starts an entry on free loopback addresses.
    pub(crate) fn start(
        root: &Path,
        name: &str,
        hall: &str,
        store: SocketAddr,
        peers: &[SocketAddr],
    ) -> Result<Self, LoadError> {
        let (callers, operators) = (free_address()?, free_address()?);
        let (metrics, links) = (free_address()?, free_address()?);
        let peers: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        let settings = format!(
            r#"name = "{name}"
hall = "{hall}"
callers_listen = "{callers}"
operators_listen = "{operators}"
metrics_listen = "{metrics}"
links_listen = "{links}"
store = "{store}"
peers = [{}]
stop_deadline_ms = 20000
[log]
format = "json"
"#,
            peers.join(", ")
        );
        let mut entry = Self {
            process: None,
            callers,
            operators,
            links,
            directory: root.join(name),
            settings,
        };
        entry.start_process()?;
        Ok(entry)
    }

    /// Starts the process, or restarts it if it ran before.
    pub(crate) fn start_process(&mut self) -> Result<(), LoadError> {
        let process = ChildProcess::start("mastknot-entry", &self.directory, &self.settings)?;
        self.process = Some(process);
        Ok(())
    }
}
