use std::time::Duration;

use mastknot_core::side::SideSettings;
use mastknot_core::types::Incarnation;
use mastknot_runtime::{CheckSettings, LogSettings, SettingsError, check_address, check_range};
use serde::Deserialize;

/// The settings of one side, as its TOML file has them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SideFile {
    /// The side's name, unique among sides.
    pub name: String,
    /// The hall it stands in.
    pub hall: String,
    /// The address of its target's HTTP server.
    pub target: String,
    /// How many tasks the target runs at once.
    pub slots: u16,
    /// Addresses of entries, at least one; the others are learned from it.
    pub entries: Vec<String>,
    /// The services the target runs; none listed means all.
    #[serde(default)]
    pub services: Vec<String>,
    /// Accelerators of the worker.
    #[serde(default)]
    pub accelerators: u16,
    /// Memory of the worker in MiB.
    #[serde(default)]
    pub memory_mib: u32,
    /// Where counters are read over HTTP.
    pub metrics_listen: String,
    /// Where counters are sent as StatsD packets.
    #[serde(default)]
    pub statsd: Option<String>,
    /// How long a credit lives, in milliseconds.
    #[serde(default = "default_credit_lifetime_ms")]
    pub credit_lifetime_ms: u64,
    /// How long a planned stop may take, in milliseconds.
    #[serde(default = "default_stop_deadline_ms")]
    pub stop_deadline_ms: u64,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

fn default_credit_lifetime_ms() -> u64 {
    1_500
}

fn default_stop_deadline_ms() -> u64 {
    30_000
}

impl CheckSettings for SideFile {
    fn check(&self) -> Result<(), SettingsError> {
        check_range("name (length)", self.name.len(), 1..=64)?;
        check_range("hall (length)", self.hall.len(), 1..=64)?;
        check_address("target", &self.target)?;
        check_range("slots", self.slots, 1..=1_024)?;
        check_range("entries (count)", self.entries.len(), 1..=64)?;
        for entry in &self.entries {
            check_address("entries", entry)?;
        }
        check_address("metrics_listen", &self.metrics_listen)?;
        if let Some(statsd) = &self.statsd {
            check_address("statsd", statsd)?;
        }
        // The entries' takeover waits for 1,500 ms: no credit may outlive that.
        check_range("credit_lifetime_ms", self.credit_lifetime_ms, 100..=1_500)?;
        check_range("stop_deadline_ms", self.stop_deadline_ms, 100..=600_000)?;
        self.log.check()
    }
}

impl SideFile {
    /// The settings of the core for one run of the process.
    pub fn core_settings(&self, incarnation: Incarnation) -> SideSettings {
        let mut settings = SideSettings::new(&self.name, &self.hall)
            .slots(self.slots)
            .incarnation(incarnation)
            .services(&self.services)
            .credit_lifetime(Duration::from_millis(self.credit_lifetime_ms));
        settings.accelerators = self.accelerators;
        settings.memory_mib = self.memory_mib;
        settings
    }
}
