use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use kameo::actor::ActorRef;
use log::{debug, info};
use mastknot_core::entry::EntryEvent;
use mastknot_core::types::NodeName;
use mastknot_runtime::{HttpClient, plain_client, read_body};
use serde::Deserialize;

use crate::actor::{EntryActor, Input};

/// How often the list is read.
const INTERVAL: Duration = Duration::from_secs(2);
/// How long a read may take.
const LIMIT: Duration = Duration::from_secs(2);
/// The longest list that is read, in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

#[derive(Debug, Deserialize)]
struct Vm {
    name: String,
    state: String,
}

/// Reads the platform's VM list again and again and tells the actor what changed.
///
/// The list lags: that a VM is on it proves nothing; that it has gone from it is late news.
pub(crate) async fn feed_vms(address: SocketAddr, actor: ActorRef<EntryActor>) {
    let http = plain_client(LIMIT);
    let mut listed: BTreeSet<String> = BTreeSet::new();
    let mut leaving: BTreeSet<String> = BTreeSet::new();
    while actor.is_alive() {
        if let Some(vms) = read(&http, address).await {
            let now: BTreeSet<String> = vms.iter().map(|vm| vm.name.clone()).collect();
            for gone in listed.difference(&now) {
                info!(vm = gone.as_str(); "VM is gone from the list");
                let vm = NodeName::from(gone);
                let _ = actor.tell(Input(EntryEvent::VmGone { vm })).await;
            }
            let leaves = vms.iter().filter(|vm| vm.state == "leaving");
            let leaves: BTreeSet<String> = leaves.map(|vm| vm.name.clone()).collect();
            for vm in leaves.difference(&leaving) {
                info!(vm = vm.as_str(); "VM will be taken away");
                let side = NodeName::from(vm);
                let _ = actor.tell(Input(EntryEvent::DrainSide { side })).await;
            }
            listed = now;
            leaving = leaves;
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

async fn read(http: &HttpClient, address: SocketAddr) -> Option<Vec<Vm>> {
    let request = Request::get(format!("http://{address}/vms"));
    let request = request.body(Full::new(Bytes::new())).ok()?;
    let response = tokio::time::timeout(LIMIT, http.request(request)).await;
    let Ok(Ok(response)) = response else {
        debug!("the VM list could not be read");
        return None;
    };
    let body = read_body(response.into_body(), MAX_LIST_BYTES, LIMIT).await;
    serde_json::from_slice(&body.ok()?).ok()
}
