use mastknot_core::message::{Payload, Submission, SubmissionKind};
use mastknot_core::types::{KeyError, NodeName, SubmissionKey};
use serde::Deserialize;
use serde_json::value::RawValue;
use snafu::{OptionExt, ResultExt, Snafu};

/// Deadline of a request that sets none, in milliseconds.
const DEFAULT_DEADLINE_MS: u32 = 30_000;
/// Maximum length of the name of a team, customer or service, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Error in the body of a caller's request.
#[derive(Debug, Snafu)]
pub(crate) enum BadRequest {
    /// The body is not JSON, or a field is unknown, missing or of the wrong type.
    #[snafu(display("the body is not as expected: {source}"))]
    Json { source: serde_json::Error },
    /// The key is malformed.
    #[snafu(display("{source}"))]
    Key { source: KeyError },
    /// The key is missing, although jobs and requests that must not run twice need one.
    #[snafu(display("`key` is missing: a job needs one, so that it can be submitted again"))]
    KeyMissing,
    /// A name is empty or too long.
    #[snafu(display("`{field}` must have 1 to {MAX_NAME_BYTES} bytes"))]
    Name { field: &'static str },
    /// The deadline is zero.
    #[snafu(display("`deadline_ms` must be above 0"))]
    Deadline,
}

/// Body of a request that submits a job.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct JobBody<'a> {
    key: Option<String>,
    team: String,
    customer: String,
    service: String,
    deadline_ms: Option<u32>,
    #[serde(borrow)]
    tasks: Vec<&'a RawValue>,
    wait: Option<bool>,
}

/// Body of a service request.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RequestBody<'a> {
    key: Option<String>,
    team: String,
    customer: String,
    deadline_ms: Option<u32>,
    #[serde(borrow)]
    body: &'a RawValue,
    wait: Option<bool>,
}

/// A submission that was read from a request's body.
#[derive(Debug)]
pub(crate) struct ParsedSubmission {
    pub(crate) submission: Submission,
    /// Whether the caller waits for the answer.
    pub(crate) wait: bool,
}

fn payload(raw: &RawValue) -> Payload {
    raw.get().as_bytes().into()
}

fn name(field: &'static str, text: &str) -> Result<NodeName, BadRequest> {
    let is_good = (1..=MAX_NAME_BYTES).contains(&text.len());
    is_good.then(|| text.into()).context(NameSnafu { field })
}

fn deadline(given: Option<u32>) -> Result<u32, BadRequest> {
    let deadline = given.unwrap_or(DEFAULT_DEADLINE_MS);
    (deadline > 0).then_some(deadline).context(DeadlineSnafu)
}

/// Reads a job from the body of a request.
pub(crate) fn parse_job(bytes: &[u8]) -> Result<ParsedSubmission, BadRequest> {
    let body: JobBody<'_> = serde_json::from_slice(bytes).context(JsonSnafu)?;
    let key = body.key.context(KeyMissingSnafu)?;
    Ok(ParsedSubmission {
        submission: Submission {
            key: key.parse().context(KeySnafu)?,
            kind: SubmissionKind::Job,
            team: name("team", &body.team)?,
            customer: name("customer", &body.customer)?,
            service: name("service", &body.service)?,
            deadline_ms: deadline(body.deadline_ms)?,
            tasks: body.tasks.into_iter().map(payload).collect(),
        },
        wait: body.wait.unwrap_or(true),
    })
}

/// Reads a service request from its body; the request must have a key.
pub(crate) fn parse_request(bytes: &[u8], service: &str) -> Result<ParsedSubmission, BadRequest> {
    parse_request_as(bytes, service, None)
}

/// Reads a service request from its body; a request without a key gets the key `fallback`.
pub(crate) fn parse_request_as(
    bytes: &[u8],
    service: &str,
    fallback: Option<SubmissionKey>,
) -> Result<ParsedSubmission, BadRequest> {
    let body: RequestBody<'_> = serde_json::from_slice(bytes).context(JsonSnafu)?;
    let given = body.key.map(|key| key.parse()).transpose();
    let key = given.context(KeySnafu)?.or(fallback);
    Ok(ParsedSubmission {
        submission: Submission {
            key: key.context(KeyMissingSnafu)?,
            kind: SubmissionKind::Request,
            team: name("team", &body.team)?,
            customer: name("customer", &body.customer)?,
            service: name("service", service)?,
            deadline_ms: deadline(body.deadline_ms)?,
            tasks: vec![payload(body.body)],
        },
        wait: body.wait.unwrap_or(true),
    })
}
