//! Stop and reload signals.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Which stop signal came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopSignal {
    /// SIGTERM.
    Terminate,
    /// SIGINT.
    Interrupt,
}

/// The stop signals of this process, caught from the moment this exists.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Catches SIGTERM and SIGINT.
    pub fn catch() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// The next stop signal.
    pub async fn next(&mut self) -> StopSignal {
        tokio::select! {
            _ = self.terminate.recv() => StopSignal::Terminate,
            _ = self.interrupt.recv() => StopSignal::Interrupt,
        }
    }
}

/// The signal that asks for the settings to be read again (SIGHUP), caught from the moment this exists: one that comes
/// before ends the process.
#[derive(Debug)]
pub struct ReloadSignals {
    hangup: Signal,
}

impl ReloadSignals {
    /// Catches SIGHUP.
    pub fn catch() -> std::io::Result<Self> {
        Ok(Self {
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// The next one.
    pub async fn next(&mut self) {
        let _ = self.hangup.recv().await;
    }
}
