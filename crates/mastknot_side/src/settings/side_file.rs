use std::time::Duration;

use mastknot_core::side::SideSettings;
use mastknot_core::types::Incarnation;
use mastknot_runtime::{CheckSettings, LogSettings, SettingsError, check_address, check_range};
use serde::Deserialize;

/// Settings of one side, in the form of its TOML file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SideFile {
    /// Name of the side, unique among sides.
    pub name: String,
    /// Hall in which the side runs.
    pub hall: String,
    /// Address of the HTTP server of the side's target.
    pub target: String,
    /// Number of tasks that the target runs at once.
    pub slots: u16,
    /// Addresses of entries, at least one; the side learns the other entries from these.
    pub entries: Vec<String>,
    /// Services that the target runs; an empty list means all services.
    #[serde(default)]
    pub services: Vec<String>,
    /// Number of accelerators of the worker.
    #[serde(default)]
    pub accelerators: u16,
    /// Memory of the worker, in MiB.
    #[serde(default)]
    pub memory_mib: u32,
    /// Listen address of the HTTP server that serves the counters.
    pub metrics_listen: String,
    /// Address to which counters are sent as StatsD packets; none are sent if not set.
    #[serde(default)]
    pub statsd: Option<String>,
    /// Lifetime of a credit, in milliseconds.
    #[serde(default = "default_credit_lifetime_ms")]
    pub credit_lifetime_ms: u64,
    /// Maximum time of a planned stop, in milliseconds.
    #[serde(default = "default_stop_deadline_ms")]
    pub stop_deadline_ms: u64,
    /// Settings of the log.
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
        // An entry that takes over keys waits for 1,500 ms, and no credit may outlive that wait.
        check_range("credit_lifetime_ms", self.credit_lifetime_ms, 100..=1_500)?;
        check_range("stop_deadline_ms", self.stop_deadline_ms, 100..=600_000)?;
        self.log.check()
    }
}

impl SideFile {
    /// Returns the settings of the core for one incarnation of the process.
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
