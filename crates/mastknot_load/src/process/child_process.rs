use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use snafu::ResultExt;
use tokio::time::{Instant, sleep};

use crate::error::{IoSnafu, LoadError};

/// A signal that the tool sends to its own processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Signal {
    Terminate,
    Kill,
    Stop,
    Continue,
}

impl Signal {
    const fn name(self) -> &'static str {
        match self {
            Self::Terminate => "-TERM",
            Self::Kill => "-KILL",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
        }
    }
}

/// A process of this tool's own; it is killed when this is dropped.
#[derive(Debug)]
pub(crate) struct Managed {
    child: Child,
}

impl Managed {
    /// Starts a binary that stands beside this tool's own, with a settings file.
    pub(crate) fn start(binary: &str, directory: &Path, settings: &str) -> Result<Self, LoadError> {
        let file = directory.join("settings.toml");
        std::fs::create_dir_all(directory).context(IoSnafu {
            what: "a settings directory",
        })?;
        std::fs::write(&file, settings).context(IoSnafu {
            what: "a settings file",
        })?;
        let log =
            File::create(directory.join("log.txt")).context(IoSnafu { what: "a log file" })?;
        let child = Command::new(beside_this(binary)?)
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .context(IoSnafu { what: binary })?;
        Ok(Self { child })
    }

    /// Sends it a signal, by its id.
    pub(crate) fn signal(&self, signal: Signal) -> Result<(), LoadError> {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([signal.name(), &pid]).status();
        sent.map(|_| ()).context(IoSnafu { what: "kill" })
    }

    /// Waits until it has ended; none if it has not within the limit.
    pub(crate) async fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            sleep(Duration::from_millis(20)).await;
        }
        None
    }
}

impl Drop for Managed {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn beside_this(binary: &str) -> Result<PathBuf, LoadError> {
    let me = std::env::current_exe().context(IoSnafu {
        what: "this program's path",
    })?;
    Ok(me.with_file_name(binary))
}
