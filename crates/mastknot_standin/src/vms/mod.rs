//! Stand-in for the platform's list of VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use mastknot_runtime::{HttpServer, ResponseBody, empty_response, json_response, read_request};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use tokio::net::TcpListener;

use crate::StandInError;
use crate::error::ListenSnafu;

/// Maximum length of a request body, in bytes.
const MAX_BODY: usize = 1024 * 1024;
/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// State of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The platform will remove the VM soon.
    Leaving,
}

/// VM in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the side or entry that runs on the VM.
    pub name: String,
    /// State of the VM.
    pub state: VmState,
}

/// VM list that runs in this process. It changes only when a test changes it, so tests decide how
/// far it lags behind the real VMs.
#[derive(Debug)]
pub struct VmListStandIn {
    server: HttpServer,
    vms: Arc<Mutex<BTreeMap<String, Vm>>>,
}

impl VmListStandIn {
    /// Starts the list on an address; port 0 selects a free port.
    pub async fn start(address: &str) -> Result<Self, StandInError> {
        let context = || ListenSnafu { address };
        let listener = TcpListener::bind(address)
            .await
            .with_context(|_| context())?;
        let vms: Arc<Mutex<BTreeMap<String, Vm>>> = Arc::default();
        let shared = Arc::clone(&vms);
        let server = HttpServer::start(listener, move |request| {
            handle(Arc::clone(&shared), request)
        });
        let server = server.with_context(|_| context())?;
        Ok(Self { server, vms })
    }

    /// Returns the address on which the list listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds a VM to the list or changes its state.
    pub fn set(&self, name: &str, state: VmState) {
        let name = name.to_owned();
        let mut vms = self.vms.lock().expect("no handler panics");
        vms.insert(name.clone(), Vm { name, state });
    }

    /// Removes a VM from the list.
    pub fn remove(&self, name: &str) {
        self.vms.lock().expect("no handler panics").remove(name);
    }
}

async fn handle(
    vms: Arc<Mutex<BTreeMap<String, Vm>>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    let Ok(bytes) = read_request(request, MAX_BODY, BODY_TIMEOUT).await else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let mut vms = vms.lock().expect("no handler panics");
    if path == "/control" {
        let Ok(list) = serde_json::from_slice::<Vec<Vm>>(&bytes) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        *vms = list.into_iter().map(|vm| (vm.name.clone(), vm)).collect();
    }
    let list: Vec<&Vm> = vms.values().collect();
    json_response(StatusCode::OK, &list)
}
