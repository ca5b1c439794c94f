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
    BodyError, Clock, RequestParts, ResponseBody, empty_response, json_response, read_body,
};
use serde_json::json;
use tokio::sync::oneshot;

use super::job_request::{BadRequest, Parsed, parse_job, parse_request, parse_request_as};
use super::rendering::render;
use crate::actor::{EntryActor, GetItem, IssueKeys, Live, Submit};

/// Keys that are issued at once, at most.
const MAX_KEYS: usize = 1_000;
/// How long a body may take to arrive.
const BODY_TIME: Duration = Duration::from_secs(10);

/// Counts what callers sent that makes no submission.
#[derive(Debug, Default)]
pub(crate) struct BadInput {
    pub(crate) malformed: AtomicU64,
    pub(crate) too_long: AtomicU64,
    pub(crate) too_slow: AtomicU64,
    pub(crate) broken: AtomicU64,
    pub(crate) unknown_path: AtomicU64,
}

/// Answers callers.
#[derive(Clone)]
pub(crate) struct CallerApi {
    pub(crate) actor: ActorRef<EntryActor>,
    pub(crate) clock: Clock,
    pub(crate) max_body: usize,
    pub(crate) bad_input: Arc<BadInput>,
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
                error(StatusCode::NOT_FOUND, "unknown_path", problem)
            }
        }
    }

    /// New keys that this entry holds: what is submitted here with one needs no second hop.
    async fn issue_keys(&self, parts: &RequestParts) -> Response<ResponseBody> {
        let count = parts.query("count").map_or(Ok(1), str::parse::<usize>);
        let Some(count) = count.ok().filter(|count| (1..=MAX_KEYS).contains(count)) else {
            self.bad_input.malformed.fetch_add(1, Ordering::Relaxed);
            let problem = format!("`count` must be 1 to {MAX_KEYS}");
            return error(StatusCode::BAD_REQUEST, "malformed", &problem);
        };
        match self.actor.ask(IssueKeys(count)).await {
            Ok(Live(keys)) => json_response(StatusCode::OK, &json!({ "keys": keys })),
            Err(_) => gone("not_run"),
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
            // Only a request that may run twice can do without a key.
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
    ) -> Result<bytes::Bytes, Response<ResponseBody>> {
        let body = read_body(request.into_body(), self.max_body, BODY_TIME).await;
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
            };
            counter.fetch_add(1, Ordering::Relaxed);
            error(status, code, &problem.to_string())
        })
    }

    async fn submit(&self, parsed: Result<Parsed, BadRequest>) -> Response<ResponseBody> {
        let parsed = match parsed {
            Ok(parsed) => parsed,
            Err(problem) => {
                self.bad_input.malformed.fetch_add(1, Ordering::Relaxed);
                return error(StatusCode::BAD_REQUEST, "malformed", &problem.to_string());
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
                error(StatusCode::BAD_REQUEST, "malformed", &problem.to_string())
            }
        }
    }

    async fn ask(&self, key: SubmissionKey, ask: CallerRequest) -> Response<ResponseBody> {
        let (reply, replied) = oneshot::channel();
        if self.actor.tell(Submit { ask, reply }).await.is_err() {
            return gone("not_run");
        }
        match replied.await {
            Ok(reply) => render(key, &reply),
            Err(_) => gone("unknown"),
        }
    }
}

/// The process is ending and cannot say more.
fn gone(ran: &str) -> Response<ResponseBody> {
    let body = json!({ "state": "refused", "reason": "stopping", "ran": ran });
    json_response(StatusCode::SERVICE_UNAVAILABLE, &body)
}

/// Nothing of a malformed request has run.
fn error(status: StatusCode, code: &str, problem: &str) -> Response<ResponseBody> {
    let body = json!({ "state": "error", "error": code, "problem": problem, "ran": "not_run" });
    json_response(status, &body)
}
