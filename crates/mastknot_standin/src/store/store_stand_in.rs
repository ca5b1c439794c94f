use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use mastknot_runtime::HttpServer;
use snafu::ResultExt;
use tokio::net::TcpListener;

use super::StoreFaults;
use super::handler::{Shared, handle};
use super::state::State;
use crate::StandInError;
use crate::error::ListenSnafu;

/// Key-value service that runs in this process.
#[derive(Debug)]
pub struct StoreStandIn {
    server: HttpServer,
    state: Shared,
}

impl StoreStandIn {
    /// Starts the service on an address; port 0 selects a free port.
    pub async fn start(address: &str) -> Result<Self, StandInError> {
        let context = || ListenSnafu { address };
        let listener = TcpListener::bind(address)
            .await
            .with_context(|_| context())?;
        let state: Shared = Arc::new(Mutex::new(State::new()));
        let shared = Arc::clone(&state);
        let server = HttpServer::start(listener, move |request| {
            handle(Arc::clone(&shared), request)
        });
        let server = server.with_context(|_| context())?;
        Ok(Self { server, state })
    }

    /// Returns the address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        let mut state = self.state.lock().expect("no handler panics");
        state.faults = faults;
        let revision = state.revision();
        state.revisions.send_replace(revision);
    }

    /// Returns the number of calls so far, by path.
    pub fn calls(&self) -> std::collections::BTreeMap<String, u64> {
        self.state.lock().expect("no handler panics").calls.clone()
    }
}
