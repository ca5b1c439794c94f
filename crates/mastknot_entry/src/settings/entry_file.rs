use std::time::Duration;

use mastknot_core::config::Profile;
use mastknot_core::entry::EntrySettings;
use mastknot_core::roster::{Member, MemberId, MembershipSettings};
use mastknot_core::submission::LedgerSettings;
use mastknot_core::types::Incarnation;
use mastknot_runtime::{
    CheckSettings, LogSettings, SettingsError, check_address, check_range, check_text,
};
use serde::Deserialize;

/// Settings of one entry, in the form of its TOML file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryFile {
    /// Name of the entry, unique among entries.
    pub name: String,
    /// Hall in which the entry runs.
    pub hall: String,
    /// Listen address for callers.
    pub callers_listen: String,
    /// Listen address for operators.
    pub operators_listen: String,
    /// Listen address of the HTTP server that serves the counters.
    pub metrics_listen: String,
    /// Listen address for sides and peers.
    pub links_listen: String,
    /// Address under which sides and peers reach this entry; the bound address of `links_listen` if
    /// not set.
    #[serde(default)]
    pub links_address: Option<String>,
    /// Address of the platform's key-value store.
    pub store: String,
    /// Address of the platform's VM list; the list is not read if not set.
    #[serde(default)]
    pub vm_list: Option<String>,
    /// Addresses of other entries, which allow a start while the store is down.
    #[serde(default)]
    pub peers: Vec<String>,
    /// Address to which counters are sent as StatsD packets; none are sent if not set.
    #[serde(default)]
    pub statsd: Option<String>,
    /// Built-in policy profile that applies until operators store another: `kalahari` or `co-op`.
    #[serde(default = "default_profile")]
    pub profile: String,
    /// Maximum number of tasks that wait at this entry.
    #[serde(default = "default_max_waiting")]
    pub max_waiting: u32,
    /// Maximum size of the body of a caller's request, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// Maximum total size of the answers that are kept for resubmissions, in bytes.
    #[serde(default = "default_answer_bytes")]
    pub answer_bytes: usize,
    /// Maximum number of submissions that the ledger keeps.
    #[serde(default = "default_max_records")]
    pub max_records: usize,
    /// Maximum age of a caller's key, in seconds.
    #[serde(default = "default_max_key_age_s")]
    pub max_key_age_s: u64,
    /// Maximum difference between two wall clocks, those of callers included, in milliseconds.
    #[serde(default = "default_max_clock_skew_ms")]
    pub max_clock_skew_ms: u64,
    /// Maximum time of a call to the store, in milliseconds.
    #[serde(default = "default_store_limit_ms")]
    pub store_limit_ms: u64,
    /// Maximum time of a planned stop, in milliseconds.
    #[serde(default = "default_stop_deadline_ms")]
    pub stop_deadline_ms: u64,
    /// Settings of the log.
    #[serde(default)]
    pub log: LogSettings,
}

fn default_profile() -> String {
    "kalahari".to_owned()
}

fn default_max_waiting() -> u32 {
    50_000
}

fn default_max_body_bytes() -> usize {
    4 * 1024 * 1024
}

fn default_answer_bytes() -> usize {
    24 * 1024 * 1024
}

fn default_max_records() -> usize {
    200_000
}

fn default_max_key_age_s() -> u64 {
    600
}

fn default_max_clock_skew_ms() -> u64 {
    500
}

fn default_store_limit_ms() -> u64 {
    1_000
}

fn default_stop_deadline_ms() -> u64 {
    60_000
}

impl CheckSettings for EntryFile {
    fn check(&self) -> Result<(), SettingsError> {
        check_range("name (length)", self.name.len(), 1..=64)?;
        check_range("hall (length)", self.hall.len(), 1..=64)?;
        check_address("callers_listen", &self.callers_listen)?;
        check_address("operators_listen", &self.operators_listen)?;
        check_address("metrics_listen", &self.metrics_listen)?;
        check_address("links_listen", &self.links_listen)?;
        if let Some(address) = &self.links_address {
            check_address("links_address", address)?;
        }
        check_address("store", &self.store)?;
        if let Some(vm_list) = &self.vm_list {
            check_address("vm_list", vm_list)?;
        }
        check_range("peers (count)", self.peers.len(), 0..=64)?;
        for peer in &self.peers {
            check_address("peers", peer)?;
        }
        if let Some(statsd) = &self.statsd {
            check_address("statsd", statsd)?;
        }
        check_text("profile", &self.profile, &["kalahari", "co-op"])?;
        check_range("max_waiting", self.max_waiting, 1..=1_000_000)?;
        check_range("max_body_bytes", self.max_body_bytes, 1_024..=8_388_608)?;
        check_range("answer_bytes", self.answer_bytes, 65_536..=1_073_741_824)?;
        check_range("max_records", self.max_records, 100..=10_000_000)?;
        check_range("max_key_age_s", self.max_key_age_s, 10..=86_400)?;
        check_range("max_clock_skew_ms", self.max_clock_skew_ms, 10..=10_000)?;
        check_range("store_limit_ms", self.store_limit_ms, 50..=10_000)?;
        check_range("stop_deadline_ms", self.stop_deadline_ms, 100..=600_000)?;
        self.log.check()
    }
}

impl EntryFile {
    /// Returns the settings of the core for one incarnation of the process, which other nodes reach
    /// at `address`.
    pub fn core_settings(&self, incarnation: Incarnation, address: String) -> EntrySettings {
        let me = Member {
            id: MemberId {
                name: (&self.name).into(),
                incarnation,
            },
            address,
            hall: (&self.hall).into(),
        };
        let profile = match self.profile.as_str() {
            "co-op" => Profile::co_op(),
            _ => Profile::kalahari(),
        };
        let max_key_age = Duration::from_secs(self.max_key_age_s);
        let max_clock_skew = Duration::from_millis(self.max_clock_skew_ms);
        let mut settings = EntrySettings::new(me)
            .profile(profile)
            .max_waiting(self.max_waiting);
        settings.ledger = LedgerSettings {
            max_key_age,
            max_clock_skew,
            max_answer_bytes: self.answer_bytes,
            max_records: self.max_records,
        };
        settings.membership = MembershipSettings {
            max_key_age,
            max_clock_skew,
            ..MembershipSettings::default()
        };
        settings
    }
}
