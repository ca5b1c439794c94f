use mastknot_core::message::{Payload, Submission, SubmissionKind};
use mastknot_core::types::{KeyError, NodeName, SubmissionKey};
use serde::Deserialize;
use serde_json::value::RawValue;
use snafu::{OptionExt, ResultExt, Snafu};

/// The deadline of a request that names none, in milliseconds.
const DEFAULT_DEADLINE_MS: u32 = 30_000;
/// The longest name of a team, customer or service.
const MAX_NAME: usize = 128;

/// Why a caller's body makes no submission.
#[derive(Debug, Snafu)]
pub(crate) enum BadRequest {
    /// The body is no JSON of the expected form.
    #[snafu(display("the body is not as expected: {source}"))]
    Json { source: serde_json::Error },
    /// The key can't be used.
    #[snafu(display("{source}"))]
    Key { source: KeyError },
    /// A job and a request that may not be repeated need a key.
    #[snafu(display("`key` is missing: a job needs one, so that it can be submitted again"))]
    KeyMissing,
    /// A name is empty or too long.
    #[snafu(display("`{field}` must have 1 to {MAX_NAME} bytes"))]
    Name { field: &'static str },
    /// The deadline is zero.
    #[snafu(display("`deadline_ms` must be above 0"))]
    Deadline,
}

/// The body of a job.
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

/// The body of a service request.
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

/// A submission with whether its caller waits.
#[derive(Debug)]
pub(crate) struct Parsed {
    pub(crate) submission: Submission,
    pub(crate) wait: bool,
}

fn payload(raw: &RawValue) -> Payload {
    raw.get().as_bytes().into()
}

fn name(field: &'static str, text: &str) -> Result<NodeName, BadRequest> {
    let is_good = (1..=MAX_NAME).contains(&text.len());
    is_good.then(|| text.into()).context(NameSnafu { field })
}

fn deadline(given: Option<u32>) -> Result<u32, BadRequest> {
    let deadline = given.unwrap_or(DEFAULT_DEADLINE_MS);
    (deadline > 0).then_some(deadline).context(DeadlineSnafu)
}

/// Reads a job.
pub(crate) fn parse_job(bytes: &[u8]) -> Result<Parsed, BadRequest> {
    let body: JobBody<'_> = serde_json::from_slice(bytes).context(JsonSnafu)?;
    let key = body.key.context(KeyMissingSnafu)?;
    Ok(Parsed {
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

/// Reads a service request.
pub(crate) fn parse_request(bytes: &[u8], service: &str) -> Result<Parsed, BadRequest> {
    parse_request_as(bytes, service, None)
}

/// Reads a service request; one without a key gets `fallback`.
pub(crate) fn parse_request_as(
    bytes: &[u8],
    service: &str,
    fallback: Option<SubmissionKey>,
) -> Result<Parsed, BadRequest> {
    let body: RequestBody<'_> = serde_json::from_slice(bytes).context(JsonSnafu)?;
    let given = body.key.map(|key| key.parse()).transpose();
    let key = given.context(KeySnafu)?.or(fallback);
    Ok(Parsed {
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
