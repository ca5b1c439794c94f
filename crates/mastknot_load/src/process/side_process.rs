use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use super::child_process::ChildProcess;
use super::free_address;
use crate::error::LoadError;

/// Side that runs as a `mastknot-side` process.
#[derive(Debug)]
pub(crate) struct SideProcess {
    pub(crate) process: Option<ChildProcess>,
    directory: PathBuf,
    settings: String,
}

impl SideProcess {
    /// Starts a side for a target.
    pub(crate) fn start(
        root: &Path,
        name: &str,
        hall: &str,
        slots: u16,
        target: SocketAddr,
        entries: &[SocketAddr],
    ) -> Result<Self, LoadError> {
        let metrics = free_address()?;
        let entries: Vec<String> = entries.iter().map(|entry| format!("\"{entry}\"")).collect();
        let settings = format!(
            r#"name = "{name}"
hall = "{hall}"
target = "{target}"
slots = {slots}
entries = [{}]
metrics_listen = "{metrics}"
stop_deadline_ms = 20000
[log]
format = "json"
"#,
            entries.join(", ")
        );
        let mut side = Self {
            process: None,
            directory: root.join(name),
            settings,
        };
        side.start_process()?;
        Ok(side)
    }

    /// Starts the process, or restarts it if it ran before.
    pub(crate) fn start_process(&mut self) -> Result<(), LoadError> {
        let process = ChildProcess::start("mastknot-side", &self.directory, &self.settings)?;
        self.process = Some(process);
        Ok(())
    }
}
