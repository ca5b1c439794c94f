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

/// Time between two reads of the list.
const READ_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum time to connect, to receive the response, and to read its body.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the list, in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// One VM of the platform's list.
#[derive(Debug, Deserialize)]
struct Vm {
    name: String,
    state: String,
}

/// Reads the platform's VM list at intervals and passes its changes to the actor.
///
/// The list lags behind: a listed VM may already be gone, and a VM disappears from the list only
/// some time after its end.
pub(crate) async fn feed_vms(address: SocketAddr, actor: ActorRef<EntryActor>) {
    let http = plain_client(TIMEOUT);
    let mut listed: BTreeSet<String> = BTreeSet::new();
    let mut leaving: BTreeSet<String> = BTreeSet::new();
    while actor.is_alive() {
        if let Some(vms) = read(&http, address).await {
            let listed_now: BTreeSet<String> = vms.iter().map(|vm| vm.name.clone()).collect();
            for gone in listed.difference(&listed_now) {
                info!(vm = gone.as_str(); "VM is no longer in the VM list");
                let vm = NodeName::from(gone);
                let _ = actor.tell(Input(EntryEvent::VmGone { vm })).await;
            }
            let leaving_vms = vms.iter().filter(|vm| vm.state == "leaving");
            let leaving_now: BTreeSet<String> = leaving_vms.map(|vm| vm.name.clone()).collect();
            for vm in leaving_now.difference(&leaving) {
                info!(vm = vm.as_str(); "VM is leaving: draining its side");
                let side = NodeName::from(vm);
                let _ = actor.tell(Input(EntryEvent::DrainSide { side })).await;
            }
            listed = listed_now;
            leaving = leaving_now;
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

async fn read(http: &HttpClient, address: SocketAddr) -> Option<Vec<Vm>> {
    let request = Request::get(format!("http://{address}/vms"));
    let request = request.body(Full::new(Bytes::new())).ok()?;
    let response = tokio::time::timeout(TIMEOUT, http.request(request)).await;
    let Ok(Ok(response)) = response else {
        debug!("the VM list could not be read");
        return None;
    };
    let body = read_body(response.into_body(), MAX_LIST_BYTES, TIMEOUT).await;
    serde_json::from_slice(&body.ok()?).ok()
}
