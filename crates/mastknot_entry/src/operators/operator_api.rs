use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use kameo::actor::ActorRef;
use mastknot_core::entry::EntryEvent;
use mastknot_core::message::ResourceName;
use mastknot_runtime::{
    RequestParts, ResponseBody, empty_response, json_response, read_request, stream_response,
};
use serde_json::{Value, json};

use super::resource::{Resource, changed_fields, check_name, check_resource};
use super::watches::{watch_decisions, watch_stored};
use crate::actor::{
    EntryActor, Explain, GetItem, GetLive, Input, Items, ListItems, Live, LiveKind, Shared,
};
use crate::callers::BadInputCounters;
use crate::platform::{WriteOutcome, write_resource};

/// Maximum size of the body of an operator's request, in bytes.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// Maximum time until the whole body of a request has arrived.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// HTTP interface for operators.
#[derive(Clone)]
pub(crate) struct OperatorApi {
    pub(crate) actor: ActorRef<EntryActor>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) bad_input: Arc<BadInputCounters>,
}

impl OperatorApi {
    pub(crate) async fn answer(self, request: Request<Incoming>) -> Response<ResponseBody> {
        let parts = RequestParts::of(request.uri());
        let method = request.method().clone();
        match (&method, parts.segments().as_slice()) {
            (&Method::GET, ["v1", "resources", kind]) => self.list(kind, &parts).await,
            (&Method::GET, ["v1", "resources", kind, name]) => self.get(kind, name).await,
            (&Method::PUT, ["v1", "resources", kind, name]) => self.put(kind, name, request).await,
            (&Method::DELETE, ["v1", "resources", kind, name]) => {
                let version = parts.query("version").and_then(|text| text.parse().ok());
                self.delete(kind, name, version.unwrap_or(0)).await
            }
            (&Method::GET, ["v1", "live", kind]) => self.live(kind, &parts).await,
            (&Method::GET, ["v1", "explain", key]) => self.explain(key).await,
            (&Method::POST, ["v1", "targets", name, "drain"]) => self.drain(name).await,
            (&Method::GET, ["health"]) => empty_response(StatusCode::OK),
            _ => error_response(
                StatusCode::NOT_FOUND,
                "unknown_path",
                "unknown path; see docs/operators/resources.md",
            ),
        }
    }

    /// Answers requests to the metrics server.
    pub(crate) async fn metrics(self, request: Request<Incoming>) -> Response<ResponseBody> {
        match request.uri().path() {
            "/metrics" => match self.counters().await {
                Some(counters) => json_response(StatusCode::OK, &counters),
                None => stopping_response(),
            },
            "/health" => empty_response(StatusCode::OK),
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }

    /// Returns all counters of this entry; `None` if the entry has stopped.
    pub(crate) async fn counters(&self) -> Option<Value> {
        let Live(mut counters) = self.actor.ask(GetLive(LiveKind::Counters)).await.ok()?;
        let read = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
        let bad = &self.bad_input;
        counters["bad_input"] = json!({
            "malformed": read(&bad.malformed),
            "too_long": read(&bad.too_long),
            "too_slow": read(&bad.too_slow),
            "no_memory": read(&bad.no_memory),
            "broken": read(&bad.broken),
            "unknown_path": read(&bad.unknown_path),
        });
        Some(counters)
    }

    async fn list(&self, kind: &str, parts: &RequestParts) -> Response<ResponseBody> {
        let from = parts.query("from").map(str::parse::<u64>);
        if parts.query("watch") == Some("true") {
            let in_force = *self.shared.config_version.borrow();
            let after = match from {
                None => 0,
                Some(Ok(after)) if after <= in_force => after,
                Some(_) => return too_old(in_force),
            };
            let versions = self.shared.config_version.subscribe();
            let lines = watch_stored(self.actor.clone(), versions, kind.to_owned(), after);
            return stream_response(lines);
        }
        let list = ListItems {
            kind: kind.to_owned(),
            after: 0,
        };
        let Ok(Items { version, items }) = self.actor.ask(list).await else {
            return stopping_response();
        };
        let items: Vec<Resource> = items.iter().map(Resource::from).collect();
        let body = json!({ "version": version, "items": items });
        json_response(StatusCode::OK, &body)
    }

    async fn get(&self, kind: &str, name: &str) -> Response<ResponseBody> {
        let get = GetItem(ResourceName::new(kind, name));
        let Ok(Items { items, .. }) = self.actor.ask(get).await else {
            return stopping_response();
        };
        match items.first().filter(|item| item.value.is_some()) {
            Some(item) => json_response(StatusCode::OK, &Resource::from(item)),
            None => {
                let problem = format!("no {kind} is named {name:?}");
                error_response(StatusCode::NOT_FOUND, "not_found", &problem)
            }
        }
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let body = read_request(request, MAX_BODY_BYTES, BODY_TIMEOUT).await;
        let bytes = match body {
            Ok(bytes) => bytes,
            Err(problem) => {
                return error_response(StatusCode::BAD_REQUEST, "bad_body", &problem.to_string());
            }
        };
        let resource: Resource = match serde_json::from_slice(&bytes) {
            Ok(resource) => resource,
            Err(problem) => {
                return error_response(StatusCode::BAD_REQUEST, "malformed", &problem.to_string());
            }
        };
        if resource.kind != kind || resource.name != name {
            let problem = "kind and name differ from those of the path";
            return error_response(StatusCode::BAD_REQUEST, "malformed", problem);
        }
        if let Err(problem) = check_resource(&resource) {
            return error_response(StatusCode::BAD_REQUEST, "not_allowed", &problem.to_string());
        }
        self.write(kind, name, resource.version, resource.value)
            .await
    }

    async fn delete(&self, kind: &str, name: &str, version: u64) -> Response<ResponseBody> {
        if let Err(problem) = check_name(kind, name) {
            return error_response(StatusCode::BAD_REQUEST, "not_allowed", &problem.to_string());
        }
        self.write(kind, name, version, None).await
    }

    async fn write(
        &self,
        kind: &str,
        name: &str,
        expected: u64,
        value: Option<Value>,
    ) -> Response<ResponseBody> {
        let nonce = format!("{:032x}", rand::random::<u128>());
        let store = &self.shared.store;
        let written = write_resource(store, kind, name, expected, nonce, value.clone());
        match written.await {
            WriteOutcome::Accepted(version) => {
                let (kind, name) = (kind.to_owned(), name.to_owned());
                let resource = Resource {
                    kind,
                    name,
                    version,
                    value,
                };
                json_response(StatusCode::OK, &resource)
            }
            WriteOutcome::Conflict(found) => {
                let current = found.as_ref().and_then(|(_, held)| held.value.as_ref());
                let is_live = current.is_some();
                let version = found.as_ref().map_or(0, |(version, _)| *version);
                let body = json!({
                    "error": "conflict",
                    "problem": "it is at another version: read it again and decide again",
                    "expected_version": expected,
                    "current_version": if is_live { version } else { 0 },
                    "changed": changed_fields(current, value.as_ref()),
                    "current": current,
                });
                json_response(StatusCode::CONFLICT, &body)
            }
            WriteOutcome::Undecided => error_response(
                StatusCode::GATEWAY_TIMEOUT,
                "undecided",
                "the store has not said whether the write took effect: read before writing again",
            ),
            WriteOutcome::StoreDown => error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "store_down",
                "nothing was written: the store does not answer",
            ),
        }
    }

    async fn live(&self, kind: &str, parts: &RequestParts) -> Response<ResponseBody> {
        let after = parts.query("from").and_then(|text| text.parse().ok());
        let kind = match kind {
            "jobs" => LiveKind::Jobs,
            "targets" => LiveKind::Targets,
            "entries" => LiveKind::Entries,
            "status" => LiveKind::Status,
            "decisions" => LiveKind::Decisions {
                after: after.unwrap_or(0),
            },
            _ => {
                let problem = "the live kinds are jobs, targets, entries, decisions, status";
                return error_response(StatusCode::NOT_FOUND, "unknown_kind", problem);
            }
        };
        let Ok(Live(found)) = self.actor.ask(GetLive(kind)).await else {
            return stopping_response();
        };
        let is_watch = parts.query("watch") == Some("true");
        if let (true, LiveKind::Decisions { after }) = (is_watch, kind) {
            let oldest = found["oldest"].as_u64().unwrap_or(0);
            if after > 0 && after + 1 < oldest {
                return too_old(oldest);
            }
            return stream_response(watch_decisions(self.actor.clone(), after));
        }
        json_response(StatusCode::OK, &found)
    }

    async fn explain(&self, key: &str) -> Response<ResponseBody> {
        let key = match key.parse() {
            Ok(key) => key,
            Err(problem) => {
                let problem: mastknot_core::types::KeyError = problem;
                return error_response(StatusCode::BAD_REQUEST, "malformed", &problem.to_string());
            }
        };
        match self.actor.ask(Explain(key)).await {
            Ok(Live(found)) => json_response(StatusCode::OK, &found),
            Err(_) => stopping_response(),
        }
    }

    async fn drain(&self, name: &str) -> Response<ResponseBody> {
        let side = name.into();
        let _ = self.actor.tell(Input(EntryEvent::DrainSide { side })).await;
        json_response(
            StatusCode::ACCEPTED,
            &json!({ "target": name, "state": "draining" }),
        )
    }
}

fn error_response(status: StatusCode, code: &str, problem: &str) -> Response<ResponseBody> {
    json_response(status, &json!({ "error": code, "problem": problem }))
}

/// Returns the response to a watch from a version that can't be resumed; `oldest` is a version from
/// which a watch can start.
fn too_old(oldest: u64) -> Response<ResponseBody> {
    let body = json!({
        "error": "too_old",
        "problem": "this version can't be resumed from: list again",
        "oldest": oldest,
    });
    json_response(StatusCode::GONE, &body)
}

/// Returns the response of an entry that is stopping.
fn stopping_response() -> Response<ResponseBody> {
    error_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "stopping",
        "the entry is ending",
    )
}
