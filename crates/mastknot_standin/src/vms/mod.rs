//! The platform's list of VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use mastknot_runtime::{HttpServer, ResponseBody, empty_response, json_response, read_body};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use tokio::net::TcpListener;

use crate::StandInError;
use crate::error::ListenSnafu;

/// The longest request body.
const MAX_BODY: usize = 1024 * 1024;
/// How long a body may take.
const BODY_TIME: Duration = Duration::from_secs(5);

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It runs.
    Live,
    /// The platform will take it away soon.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The name of the side or entry that it carries.
    pub name: String,
    /// Whether it stays.
    pub state: VmState,
}

/// A VM list in this process. It lags as long as the test that sets it lets it.
#[derive(Debug)]
pub struct VmListStandIn {
    server: HttpServer,
    vms: Arc<Mutex<BTreeMap<String, Vm>>>,
}

impl VmListStandIn {
    /// Starts the list at an address; port 0 takes a free one.
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

    /// The address it listens at.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Puts a VM on the list or changes it.
    pub fn set(&self, name: &str, state: VmState) {
        let name = name.to_owned();
        let mut vms = self.vms.lock().expect("no handler panics");
        vms.insert(name.clone(), Vm { name, state });
    }

    /// Takes a VM off the list.
    pub fn remove(&self, name: &str) {
        self.vms.lock().expect("no handler panics").remove(name);
    }
}

async fn handle(
    vms: Arc<Mutex<BTreeMap<String, Vm>>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    let Ok(bytes) = read_body(request.into_body(), MAX_BODY, BODY_TIME).await else {
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
