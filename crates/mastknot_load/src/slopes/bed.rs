use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use mastknot_client::Client;
use mastknot_runtime::load_settings;
use mastknot_side::{SideFile, SideNode};
use mastknot_standin::{StoreStandIn, WorkerStandIn};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::error::{LoadError, WrongRegimeSnafu};
use crate::process::{EntryProcess, Usage, free_address, settle};

/// How long a bed may take to settle.
const SETTLE_LIMIT: Duration = Duration::from_secs(30);
/// How often it is looked at meanwhile.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// What was used and sent between two readings of an entry.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reading {
    pub(super) at: Option<Instant>,
    pub(super) usage: Usage,
    pub(super) control_bytes: f64,
    pub(super) control_messages: f64,
    pub(super) store_calls: f64,
    pub(super) answers: f64,
}

/// Entries as processes, sides and stand-ins inside this tool.
pub(super) struct Bed {
    pub(super) store: StoreStandIn,
    pub(super) worker: WorkerStandIn,
    pub(super) entries: Vec<EntryProcess>,
    pub(super) sides: Vec<SideNode>,
    pub(super) client: Client,
    pub(super) root: PathBuf,
}

impl Bed {
    pub(super) async fn start(entries: usize, sides: usize, slots: u16) -> Result<Self, LoadError> {
        let root = std::env::temp_dir().join(format!("mastknot-load-{}", std::process::id()));
        let worker = start_worker().await?;
        worker.set_recording(false);
        let store = start_store().await?;
        let mut bed = Self {
            store,
            worker,
            entries: Vec::new(),
            sides: Vec::new(),
            client: Client::new(Duration::from_secs(60)),
            root,
        };
        for index in 0..entries {
            let name = format!("entry-{}", index + 1);
            let peers: Vec<SocketAddr> = bed.entries.iter().map(|entry| entry.links).collect();
            let store = bed.store.address();
            let entry = EntryProcess::start(&bed.root, &name, "hall-1", store, &peers)?;
            bed.entries.push(entry);
        }
        for index in 0..sides {
            bed.add_side(index, slots).await?;
        }
        bed.settle(sides).await?;
        let service = json!({ "path": "/run", "typical_ms": 5 });
        bed.create("service", "run", service).await?;
        Ok(bed)
    }

    async fn add_side(&mut self, index: usize, slots: u16) -> Result<(), LoadError> {
        let entries: Vec<String> = self
            .entries
            .iter()
            .map(|entry| format!("\"{}\"", entry.links))
            .collect();
        let text = format!(
            "name = \"side-{index}\"\nhall = \"hall-1\"\ntarget = \"{}\"\nslots = {slots}\n\
             entries = [{}]\nmetrics_listen = \"{}\"\n",
            self.worker.address(),
            entries.join(", "),
            free_address()?,
        );
        let file = self.root.join("side.toml");
        std::fs::write(&file, text).map_err(|source| LoadError::Io {
            what: "a settings file".to_owned(),
            source,
        })?;
        let file: SideFile = load_settings(&file).map_err(|error| LoadError::WrongRegime {
            what: error.to_string(),
        })?;
        let side = SideNode::start(file).await;
        self.sides
            .push(side.map_err(|error| LoadError::WrongRegime {
                what: error.to_string(),
            })?);
        Ok(())
    }

    /// Waits until every entry has all members and all sides.
    pub(super) async fn settle(&self, sides: usize) -> Result<(), LoadError> {
        settle(&self.client, &self.entries, sides).await
    }

    pub(super) async fn create(
        &self,
        kind: &str,
        name: &str,
        value: Value,
    ) -> Result<(), LoadError> {
        let path = format!("/v1/resources/{kind}/{name}");
        let current = self.client.get(self.entries[0].operators, &path).await?;
        let version = current.body["version"].as_u64().unwrap_or(0);
        let body = json!({ "kind": kind, "name": name, "version": version, "value": value });
        let answer = self
            .client
            .put(self.entries[0].operators, &path, &body)
            .await?;
        let version = answer.body["version"].as_u64().unwrap_or(u64::MAX);
        let deadline = Instant::now() + SETTLE_LIMIT;
        loop {
            let status = self
                .client
                .get(self.entries[0].operators, "/v1/live/status")
                .await?;
            let is_there = status.body["version"].as_u64() >= Some(version);
            if is_there && status.body["nodes"] == status.body["nodes_in_force"] {
                return Ok(());
            }
            if Instant::now() > deadline {
                let what = format!("{answer:?} {}", status.body);
                return WrongRegimeSnafu { what }.fail();
            }
            sleep(LOOK_INTERVAL).await;
        }
    }

    /// Reads what the first entry has used and sent so far.
    pub(super) async fn read(&self) -> Result<Reading, LoadError> {
        let entry = &self.entries[0];
        let counters = self.client.get(entry.metrics, "/metrics").await?.body;
        let number = |value: &Value| value.as_u64().unwrap_or(0) as f64;
        let links = &counters["links"];
        let store = counters["store"].as_object().into_iter().flatten();
        Ok(Reading {
            at: Some(Instant::now()),
            usage: entry
                .process
                .as_ref()
                .map(|p| p.usage())
                .unwrap_or_default(),
            control_bytes: number(&links["control_bytes_sent"])
                + number(&links["control_bytes_received"]),
            control_messages: number(&links["control_messages_sent"])
                + number(&links["control_messages_received"]),
            store_calls: store.map(|(_, count)| number(count)).sum(),
            answers: number(&counters["dispatch"]["answers"]),
        })
    }
}

async fn start_worker() -> Result<WorkerStandIn, LoadError> {
    let started = WorkerStandIn::start("127.0.0.1:0").await;
    started.map_err(|error| LoadError::WrongRegime {
        what: error.to_string(),
    })
}

async fn start_store() -> Result<StoreStandIn, LoadError> {
    let started = StoreStandIn::start("127.0.0.1:0").await;
    started.map_err(|error| LoadError::WrongRegime {
        what: error.to_string(),
    })
}
