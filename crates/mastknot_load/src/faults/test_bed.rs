use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use mastknot_client::Client;
use mastknot_standin::{StartRecord, StoreStandIn, WorkerStandIn};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::error::{InvalidRunSnafu, LoadError};
use crate::process::{EntryProcess, SideProcess, settle};

/// Halls, to which entries and sides are assigned in turn.
const HALLS: [&str; 3] = ["hall-1", "hall-2", "hall-3"];

/// System under fault injection: entries and sides as separate processes, stand-ins inside this
/// tool.
pub(super) struct FaultTestBed {
    pub(super) store: StoreStandIn,
    pub(super) workers: Arc<Vec<WorkerStandIn>>,
    pub(super) entries: Vec<EntryProcess>,
    pub(super) sides: Vec<SideProcess>,
    pub(super) client: Client,
}

fn stand_in_error(error: impl std::fmt::Display) -> LoadError {
    LoadError::InvalidRun {
        reason: error.to_string(),
    }
}

impl FaultTestBed {
    pub(super) async fn start(entries: usize, sides: usize, slots: u16) -> Result<Self, LoadError> {
        let root: PathBuf =
            std::env::temp_dir().join(format!("mastknot-faults-{}", std::process::id()));
        let mut test_bed = Self {
            store: StoreStandIn::start("127.0.0.1:0")
                .await
                .map_err(stand_in_error)?,
            workers: Arc::default(),
            entries: Vec::new(),
            sides: Vec::new(),
            client: Client::new(Duration::from_secs(20)),
        };
        for index in 0..entries {
            let name = format!("entry-{}", index + 1);
            let peers: Vec<SocketAddr> = test_bed.entries.iter().map(|entry| entry.links).collect();
            let hall = HALLS[index % HALLS.len()];
            let store = test_bed.store.address();
            test_bed
                .entries
                .push(EntryProcess::start(&root, &name, hall, store, &peers)?);
        }
        let links: Vec<SocketAddr> = test_bed.entries.iter().map(|entry| entry.links).collect();
        let mut workers = Vec::new();
        for index in 0..sides {
            let worker = WorkerStandIn::start("127.0.0.1:0")
                .await
                .map_err(stand_in_error)?;
            let name = format!("side-{}", index + 1);
            let hall = HALLS[index % HALLS.len()];
            let target = worker.address();
            test_bed.sides.push(SideProcess::start(
                &root, &name, hall, slots, target, &links,
            )?);
            workers.push(worker);
        }
        test_bed.workers = Arc::new(workers);
        settle(&test_bed.client, &test_bed.entries, sides).await?;
        test_bed
            .create("service", "pay", json!({ "path": "/pay" }))
            .await?;
        let lookup = json!({ "path": "/look", "repeatable": true });
        test_bed.create("service", "look", lookup).await?;
        Ok(test_bed)
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
            let reason = answer.body.to_string();
            return InvalidRunSnafu { reason }.fail();
        }
        sleep(Duration::from_secs(1)).await;
        Ok(())
    }

    /// Returns the task starts recorded by all workers.
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
