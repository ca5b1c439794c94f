use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use super::free_address;
use super::managed::Managed;
use crate::error::LoadError;

/// One `mastknot-side` process.
#[derive(Debug)]
pub(crate) struct SideProcess {
    pub(crate) process: Option<Managed>,
    directory: PathBuf,
    settings: String,
}

impl SideProcess {
    /// Starts a side.
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
        side.start_again()?;
        Ok(side)
    }

    /// Starts the process, as a new run if there was one before.
    pub(crate) fn start_again(&mut self) -> Result<(), LoadError> {
        let process = Managed::start("mastknot-side", &self.directory, &self.settings)?;
        self.process = Some(process);
        Ok(())
    }
}
