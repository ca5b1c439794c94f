//! Signals that stop a process or make it reload its settings.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// A signal that asks the process to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopSignal {
    /// SIGTERM.
    Terminate,
    /// SIGINT.
    Interrupt,
}

/// Receiver of the stop signals of this process, which are caught as soon as it is created.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Starts catching SIGTERM and SIGINT.
    ///
    /// Fails if a signal handler can't be installed.
    pub fn catch() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next stop signal.
    pub async fn next(&mut self) -> StopSignal {
        tokio::select! {
            _ = self.terminate.recv() => StopSignal::Terminate,
            _ = self.interrupt.recv() => StopSignal::Interrupt,
        }
    }
}

/// Receiver of SIGHUP, which asks the process to reload its settings. The signal is caught as soon as the receiver is
/// created; before that, it kills the process.
#[derive(Debug)]
pub struct ReloadSignals {
    hangup: Signal,
}

impl ReloadSignals {
    /// Starts catching SIGHUP.
    ///
    /// Fails if the signal handler can't be installed.
    pub fn catch() -> std::io::Result<Self> {
        Ok(Self {
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next SIGHUP.
    pub async fn next(&mut self) {
        let _ = self.hangup.recv().await;
    }
}
