use std::net::SocketAddr;
use std::time::Duration;

use mastknot_client::{Answer, Client};
use mastknot_entry::{EntryNode, StopReport};
use mastknot_side::SideNode;
use mastknot_standin::{StartRecord, StoreStandIn, VmListStandIn, VmState, WorkerStandIn};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::error::{NotAcceptedSnafu, NotSettledSnafu};
use crate::{HarnessError, Plan};

/// Maximum time until a system settles.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two reads of the state of a system that has not settled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a call to an entry.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Running system: stand-ins, entries and sides.
#[derive(Debug)]
pub struct Harness {
    /// Stand-in for the key-value service.
    pub store: StoreStandIn,
    /// Stand-in for the VM list.
    pub vms: VmListStandIn,
    /// Workers, one for each side, in the order of the sides.
    pub workers: Vec<WorkerStandIn>,
    /// HTTP client for calls to all processes of the system.
    pub client: Client,
    plan: Plan,
    entries: Vec<Option<EntryNode>>,
    sides: Vec<Option<SideNode>>,
}

impl Harness {
    /// Starts all processes of a plan and waits until every side has joined every entry.
    pub async fn start(plan: Plan) -> Result<Self, HarnessError> {
        let mut harness = Self {
            store: StoreStandIn::start("127.0.0.1:0").await?,
            vms: VmListStandIn::start("127.0.0.1:0").await?,
            workers: Vec::new(),
            client: Client::new(CALL_TIMEOUT),
            entries: Vec::new(),
            sides: Vec::new(),
            plan,
        };
        for _ in 0..harness.plan.entries {
            harness.add_entry().await?;
        }
        for _ in 0..harness.plan.sides {
            harness.add_side().await?;
        }
        harness.settle().await?;
        Ok(harness)
    }

    /// Starts another entry and returns its index.
    pub async fn add_entry(&mut self) -> Result<usize, HarnessError> {
        let index = self.entries.len();
        let store = self.store.address().to_string();
        let vm_list = self.vms.address().to_string();
        let file = self.plan.entry_file(index, store, vm_list, self.links());
        self.vms.set(&file.name, VmState::Live);
        self.entries.push(Some(EntryNode::start(file).await?));
        Ok(index)
    }

    /// Starts another side with its worker and returns its index.
    pub async fn add_side(&mut self) -> Result<usize, HarnessError> {
        let index = self.sides.len();
        let worker = WorkerStandIn::start("127.0.0.1:0").await?;
        worker.set_recording(self.plan.is_recording);
        let target = worker.address().to_string();
        let file = self.plan.side_file(index, target, self.links());
        self.vms.set(&file.name, VmState::Live);
        self.sides.push(Some(SideNode::start(file).await?));
        self.workers.push(worker);
        Ok(index)
    }

    fn links(&self) -> Vec<String> {
        let live = self.entries.iter().flatten();
        live.map(|entry| entry.links_address().to_string())
            .collect()
    }

    /// Returns an entry, or `None` if it was stopped or crashed.
    pub fn entry(&self, index: usize) -> Option<&EntryNode> {
        self.entries[index].as_ref()
    }

    /// Returns a side, or `None` if it was stopped or crashed.
    pub fn side(&self, index: usize) -> Option<&SideNode> {
        self.sides[index].as_ref()
    }

    /// Returns the addresses for callers of the running entries.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let live = self.entries.iter().flatten();
        live.map(EntryNode::callers_address).collect()
    }

    /// Returns the addresses for operators of the running entries.
    pub fn operators(&self) -> Vec<SocketAddr> {
        let live = self.entries.iter().flatten();
        live.map(EntryNode::operators_address).collect()
    }

    /// Waits until every entry is in the roster and every side has joined every entry.
    pub async fn settle(&self) -> Result<(), HarnessError> {
        let entries = self.entries.iter().flatten().count();
        let sides = self.sides.iter().flatten().count();
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        for operators in self.operators() {
            loop {
                let roster = self.client.get(operators, "/v1/live/entries").await?.body;
                let targets = self.client.get(operators, "/v1/live/targets").await?.body;
                let has_entries = count(&roster["entries"], "is_connected") == entries
                    && roster["is_fresh"] == true;
                let has_sides = targets.as_array().map_or(0, Vec::len) == sides;
                if has_entries && has_sides {
                    break;
                }
                if Instant::now() > deadline {
                    let state = format!("{roster} {targets}");
                    return NotSettledSnafu { state }.fail();
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Writes a resource that does not exist yet and waits until it is in force everywhere.
    pub async fn create(&self, kind: &str, name: &str, value: Value) -> Result<(), HarnessError> {
        let answer = self.put(kind, name, 0, value).await?;
        if !answer.status.is_success() {
            let problem = answer.body.to_string();
            return NotAcceptedSnafu {
                kind,
                name,
                problem,
            }
            .fail();
        }
        let version = answer.body["version"].as_u64().unwrap_or(0);
        self.wait_in_force(version).await
    }

    /// Writes a resource through the first running entry. The version is the one that the write
    /// replaces, zero for a new resource.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        version: u64,
        value: Value,
    ) -> Result<Answer, HarnessError> {
        let path = format!("/v1/resources/{kind}/{name}");
        let body = json!({ "kind": kind, "name": name, "version": version, "value": value });
        Ok(self.client.put(self.operators()[0], &path, &body).await?)
    }

    /// Waits until every entry reports that a configuration version is in force on every node.
    pub async fn wait_in_force(&self, version: u64) -> Result<(), HarnessError> {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        for operators in self.operators() {
            loop {
                let status = self.client.get(operators, "/v1/live/status").await?.body;
                let is_known = status["version"].as_u64() >= Some(version);
                if is_known && status["nodes_in_force"] == status["nodes"] {
                    break;
                }
                if Instant::now() > deadline {
                    let state = format!("configuration {version}: {status}");
                    return NotSettledSnafu { state }.fail();
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Returns the task starts recorded by all workers.
    pub fn starts(&self) -> StartRecord {
        let mut all = StartRecord::default();
        for worker in &self.workers {
            all.merge(&worker.record());
        }
        all
    }

    /// Stops an entry gracefully; returns `None` if it does not run.
    pub async fn stop_entry(&mut self, index: usize) -> Option<StopReport> {
        let entry = self.entries[index].take()?;
        Some(entry.stop().await)
    }

    /// Ends an entry abruptly, like a crash.
    pub async fn crash_entry(&mut self, index: usize) {
        if let Some(entry) = self.entries[index].take() {
            entry.abort().await;
        }
    }

    /// Ends a side abruptly, like a crash.
    pub async fn crash_side(&mut self, index: usize) {
        if let Some(side) = self.sides[index].take() {
            side.abort().await;
        }
    }

    /// Stops a side gracefully; returns `None` if it does not run.
    pub async fn stop_side(&mut self, index: usize) -> Option<mastknot_side::StopReport> {
        let side = self.sides[index].take()?;
        Some(side.stop().await)
    }
}

fn count(list: &Value, flag: &str) -> usize {
    let items = list.as_array().into_iter().flatten();
    items.filter(|item| item[flag] == true).count()
}
