use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use snafu::ResultExt;
use tokio::time::{Instant, sleep};

use crate::error::{IoSnafu, LoadError};

/// Signal that this tool sends to the processes that it started.
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

/// Process started by this tool; it is killed when the value is dropped.
#[derive(Debug)]
pub(crate) struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Writes `settings.toml` into `directory` and starts a binary with it. The binary is expected
    /// in the directory of this program. The process logs to `log.txt` in `directory`.
    pub(crate) fn start(binary: &str, directory: &Path, settings: &str) -> Result<Self, LoadError> {
        let file = directory.join("settings.toml");
        std::fs::create_dir_all(directory).context(IoSnafu {
            subject: "a settings directory",
        })?;
        std::fs::write(&file, settings).context(IoSnafu {
            subject: "a settings file",
        })?;
        let log = File::create(directory.join("log.txt")).context(IoSnafu {
            subject: "a log file",
        })?;
        let child = Command::new(sibling_path(binary)?)
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .context(IoSnafu { subject: binary })?;
        Ok(Self { child })
    }

    /// Sends a signal to the process by its id.
    pub(crate) fn signal(&self, signal: Signal) -> Result<(), LoadError> {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([signal.name(), &pid]).status();
        sent.map(|_| ()).context(IoSnafu { subject: "kill" })
    }

    /// Waits until the process has ended; returns `None` if it still runs after the timeout.
    pub(crate) async fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            sleep(Duration::from_millis(20)).await;
        }
        None
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn sibling_path(binary: &str) -> Result<PathBuf, LoadError> {
    let this_program = std::env::current_exe().context(IoSnafu {
        subject: "this program's path",
    })?;
    Ok(this_program.with_file_name(binary))
}
