use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use kameo::actor::ActorRef;
use mastknot_core::config::Service;
use mastknot_core::entry::CallerRequest;
use mastknot_core::message::ResourceName;
use mastknot_core::types::SubmissionKey;
use mastknot_runtime::{
    BodyError, Clock, RequestBody, RequestParts, ResponseBody, empty_response, json_response,
    read_request,
};
use serde_json::json;
use tokio::sync::oneshot;

use super::job_request::{
    BadRequest, ParsedSubmission, parse_job, parse_request, parse_request_as,
};
use super::rendering::render;
use crate::actor::{EntryActor, GetItem, IssueKeys, Live, Submit};

/// Maximum number of keys that one request issues.
const MAX_KEYS: usize = 1_000;
/// Maximum time until the whole body of a request has arrived.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Counts of callers' requests that were rejected before they became submissions, by cause.
#[derive(Debug, Default)]
pub(crate) struct BadInputCounters {
    pub(crate) malformed: AtomicU64,
    pub(crate) too_long: AtomicU64,
    pub(crate) too_slow: AtomicU64,
    pub(crate) broken: AtomicU64,
    pub(crate) no_memory: AtomicU64,
    pub(crate) unknown_path: AtomicU64,
}

/// HTTP interface for callers.
#[derive(Clone)]
pub(crate) struct CallerApi {
    pub(crate) actor: ActorRef<EntryActor>,
    pub(crate) clock: Clock,
    pub(crate) max_body: usize,
    pub(crate) bad_input: Arc<BadInputCounters>,
}

impl CallerApi {
    pub(crate) async fn answer(self, request: Request<Incoming>) -> Response<ResponseBody> {
        let parts = RequestParts::of(request.uri());
        let method = request.method().clone();
        match (&method, parts.segments().as_slice()) {
            (&Method::POST, ["v1", "jobs"]) => self.submit_job(request).await,
            (&Method::GET, ["v1", "jobs", key]) => {
                let wait = parts.query("wait") == Some("true");
                self.fetch(key, wait).await
            }
            (&Method::POST, ["v1", "services", service, "requests"]) => {
                self.submit_request(service, request).await
            }
            (&Method::GET, ["v1", "keys"]) => self.issue_keys(&parts).await,
            (&Method::GET, ["health"]) => empty_response(StatusCode::OK),
            _ => {
                self.bad_input.unknown_path.fetch_add(1, Ordering::Relaxed);
                let problem = "unknown path; see docs/ARCHITECTURE.md for the callers' interface";
                error_response(StatusCode::NOT_FOUND, "unknown_path", problem)
            }
        }
    }

    /// Returns new keys that this entry owns. A submission with such a key at this entry is not
    /// forwarded to another entry.
    async fn issue_keys(&self, parts: &RequestParts) -> Response<ResponseBody> {
        let count = parts.query("count").map_or(Ok(1), str::parse::<usize>);
        let Some(count) = count.ok().filter(|count| (1..=MAX_KEYS).contains(count)) else {
            self.bad_input.malformed.fetch_add(1, Ordering::Relaxed);
            let problem = format!("`count` must be 1 to {MAX_KEYS}");
            return error_response(StatusCode::BAD_REQUEST, "malformed", &problem);
        };
        match self.actor.ask(IssueKeys(count)).await {
            Ok(Live(keys)) => json_response(StatusCode::OK, &json!({ "keys": keys })),
            Err(_) => stopping_response("not_run"),
        }
    }

    async fn submit_job(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let bytes = match self.body(request).await {
            Ok(bytes) => bytes,
            Err(response) => return response,
        };
        self.submit(parse_job(&bytes)).await
    }

    async fn submit_request(
        &self,
        service: &str,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let bytes = match self.body(request).await {
            Ok(bytes) => bytes,
            Err(response) => return response,
        };
        let parsed = match parse_request(&bytes, service) {
            // A request without a key can't be recognised when it is submitted again, so only
            // requests that may run twice are accepted without one.
            Err(BadRequest::KeyMissing) if self.is_repeatable(service).await => {
                let key = SubmissionKey::new(self.clock.now().wall, rand::random());
                parse_request_as(&bytes, service, Some(key))
            }
            parsed => parsed,
        };
        self.submit(parsed).await
    }

    async fn is_repeatable(&self, service: &str) -> bool {
        let items = self
            .actor
            .ask(GetItem(ResourceName::new("service", service)))
            .await;
        let text = items
            .ok()
            .and_then(|items| items.items.first()?.value.clone());
        let definition = text.and_then(|text| serde_json::from_str::<Service>(&text).ok());
        definition.is_some_and(|service| service.repeatable)
    }

    async fn body(
        &self,
        request: Request<Incoming>,
    ) -> Result<RequestBody, Response<ResponseBody>> {
        let body = read_request(request, self.max_body, BODY_TIMEOUT).await;
        body.map_err(|problem| {
            let (counter, status, code) = match problem {
                BodyError::TooLong { .. } => (
                    &self.bad_input.too_long,
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "body_too_long",
                ),
                BodyError::TooSlow => (
                    &self.bad_input.too_slow,
                    StatusCode::REQUEST_TIMEOUT,
                    "body_too_slow",
                ),
                BodyError::Broken => (
                    &self.bad_input.broken,
                    StatusCode::BAD_REQUEST,
                    "body_broken",
                ),
                BodyError::NoMemory => (
                    &self.bad_input.no_memory,
                    StatusCode::SERVICE_UNAVAILABLE,
                    "no_memory",
                ),
            };
            counter.fetch_add(1, Ordering::Relaxed);
            error_response(status, code, &problem.to_string())
        })
    }

    async fn submit(&self, parsed: Result<ParsedSubmission, BadRequest>) -> Response<ResponseBody> {
        let parsed = match parsed {
            Ok(parsed) => parsed,
            Err(problem) => {
                self.bad_input.malformed.fetch_add(1, Ordering::Relaxed);
                return error_response(StatusCode::BAD_REQUEST, "malformed", &problem.to_string());
            }
        };
        let key = parsed.submission.key;
        let ask = CallerRequest::Submit {
            submission: parsed.submission,
            wait: parsed.wait,
        };
        self.ask(key, ask).await
    }

    async fn fetch(&self, key: &str, wait: bool) -> Response<ResponseBody> {
        match key.parse::<SubmissionKey>() {
            Ok(key) => self.ask(key, CallerRequest::Fetch { key, wait }).await,
            Err(problem) => {
                self.bad_input.malformed.fetch_add(1, Ordering::Relaxed);
                error_response(StatusCode::BAD_REQUEST, "malformed", &problem.to_string())
            }
        }
    }

    async fn ask(&self, key: SubmissionKey, ask: CallerRequest) -> Response<ResponseBody> {
        let (reply, replied) = oneshot::channel();
        if self.actor.tell(Submit { ask, reply }).await.is_err() {
            return stopping_response("not_run");
        }
        match replied.await {
            Ok(reply) => render(key, &reply),
            Err(_) => stopping_response("unknown"),
        }
    }
}

/// Returns the response of an entry that is stopping; `ran` reports whether the request may have
/// run.
fn stopping_response(ran: &str) -> Response<ResponseBody> {
    let body = json!({ "state": "refused", "reason": "stopping", "ran": ran });
    json_response(StatusCode::SERVICE_UNAVAILABLE, &body)
}

/// Returns the response to a malformed request; no task of such a request has run.
fn error_response(status: StatusCode, code: &str, problem: &str) -> Response<ResponseBody> {
    let body = json!({ "state": "error", "error": code, "problem": problem, "ran": "not_run" });
    json_response(status, &body)
}
