use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use mastknot_client::Client;
use mastknot_standin::{StartRecord, StoreStandIn, WorkerStandIn};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::error::{LoadError, WrongRegimeSnafu};
use crate::process::{EntryProcess, SideProcess, settle};

/// The halls.
const HALLS: [&str; 3] = ["hall-1", "hall-2", "hall-3"];

/// Entries and sides as processes, stand-ins inside this tool.
pub(super) struct FaultBed {
    pub(super) store: StoreStandIn,
    pub(super) workers: Arc<Vec<WorkerStandIn>>,
    pub(super) entries: Vec<EntryProcess>,
    pub(super) sides: Vec<SideProcess>,
    pub(super) client: Client,
}

fn stand_in(error: impl std::fmt::Display) -> LoadError {
    LoadError::WrongRegime {
        what: error.to_string(),
    }
}

impl FaultBed {
    pub(super) async fn start(entries: usize, sides: usize, slots: u16) -> Result<Self, LoadError> {
        let root: PathBuf =
            std::env::temp_dir().join(format!("mastknot-faults-{}", std::process::id()));
        let mut bed = Self {
            store: StoreStandIn::start("127.0.0.1:0").await.map_err(stand_in)?,
            workers: Arc::default(),
            entries: Vec::new(),
            sides: Vec::new(),
            client: Client::new(Duration::from_secs(20)),
        };
        for index in 0..entries {
            let name = format!("entry-{}", index + 1);
            let peers: Vec<SocketAddr> = bed.entries.iter().map(|entry| entry.links).collect();
            let hall = HALLS[index % HALLS.len()];
            let store = bed.store.address();
            bed.entries
                .push(EntryProcess::start(&root, &name, hall, store, &peers)?);
        }
        let links: Vec<SocketAddr> = bed.entries.iter().map(|entry| entry.links).collect();
        let mut workers = Vec::new();
        for index in 0..sides {
            let worker = WorkerStandIn::start("127.0.0.1:0")
                .await
                .map_err(stand_in)?;
            let name = format!("side-{}", index + 1);
            let hall = HALLS[index % HALLS.len()];
            let target = worker.address();
            bed.sides.push(SideProcess::start(
                &root, &name, hall, slots, target, &links,
            )?);
            workers.push(worker);
        }
        bed.workers = Arc::new(workers);
        settle(&bed.client, &bed.entries, sides).await?;
        bed.create("service", "pay", json!({ "path": "/pay" }))
            .await?;
        let look = json!({ "path": "/look", "repeatable": true });
        bed.create("service", "look", look).await?;
        Ok(bed)
    }

    pub(super) async fn create(
        &self,
        kind: &str,
        name: &str,
        value: Value,
    ) -> Result<(), LoadError> {
        let path = format!("/v1/resources/{kind}/{name}");
        let body = json!({ "kind": kind, "name": name, "version": 0, "value": value });
        let entry = self.entries[0].operators;
        let answer = self.client.put(entry, &path, &body).await?;
        if !answer.status.is_success() {
            let what = answer.body.to_string();
            return WrongRegimeSnafu { what }.fail();
        }
        sleep(Duration::from_secs(1)).await;
        Ok(())
    }

    /// The true starts of all workers.
    pub(super) fn starts(&self) -> StartRecord {
        let mut all = StartRecord::default();
        for worker in self.workers.iter() {
            all.merge(&worker.record());
        }
        all
    }

    pub(super) fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.callers).collect()
    }
}
