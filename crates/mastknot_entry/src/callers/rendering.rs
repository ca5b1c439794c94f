use http::{HeaderValue, Response, StatusCode, header};
use mastknot_core::message::{Refusal, RefusalReason, Reply, SubmissionAnswer, TaskResult};
use mastknot_core::types::SubmissionKey;
use mastknot_runtime::{ResponseBody, json_response};
use serde::Serialize;
use serde_json::value::RawValue;

/// Answer of one task, as callers receive it.
#[derive(Serialize)]
struct TaskAnswer<'a> {
    status: u16,
    body: Body<'a>,
}

/// Body of a target's answer: JSON unchanged, other text as a JSON string, other bytes as an array
/// of numbers.
#[derive(Serialize)]
#[serde(untagged)]
enum Body<'a> {
    Json(&'a RawValue),
    Text(&'a str),
    Bytes(&'a [u8]),
}

/// Body of the response to a caller.
#[derive(Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
enum Rendered<'a> {
    Complete {
        key: String,
        answers: Vec<TaskAnswer<'a>>,
    },
    Failed {
        key: String,
        reason: mastknot_core::message::FailReason,
        ran: mastknot_core::message::Ran,
    },
    Pending {
        key: String,
        done: u16,
        count: u16,
    },
    Refused {
        key: String,
        reason: RefusalReason,
        ran: mastknot_core::message::Ran,
        #[serde(skip_serializing_if = "Option::is_none")]
        retry_after_ms: Option<u32>,
    },
}

fn body(bytes: &[u8]) -> Body<'_> {
    let Ok(text) = std::str::from_utf8(bytes) else {
        return Body::Bytes(bytes);
    };
    match serde_json::from_str::<&RawValue>(text) {
        Ok(json) => Body::Json(json),
        Err(_) => Body::Text(text),
    }
}

fn task_answer(result: &TaskResult) -> TaskAnswer<'_> {
    TaskAnswer {
        status: result.status,
        body: body(&result.body),
    }
}

/// Returns the HTTP response for the reply to a caller.
pub(crate) fn render(key: SubmissionKey, reply: &Reply) -> Response<ResponseBody> {
    let key = key.to_string();
    match reply {
        Reply::Answered(SubmissionAnswer::Complete(results)) => {
            let answers = results.iter().map(task_answer).collect();
            json_response(StatusCode::OK, &Rendered::Complete { key, answers })
        }
        Reply::Answered(SubmissionAnswer::Failed { reason, ran }) => {
            let (reason, ran) = (*reason, *ran);
            let failed = Rendered::Failed { key, reason, ran };
            json_response(StatusCode::BAD_GATEWAY, &failed)
        }
        Reply::Pending { done, count } => {
            let (done, count) = (*done, *count);
            json_response(
                StatusCode::ACCEPTED,
                &Rendered::Pending { key, done, count },
            )
        }
        Reply::Refused(refusal) => refused(key, refusal),
    }
}

fn refused(key: String, refusal: &Refusal) -> Response<ResponseBody> {
    let rendered = Rendered::Refused {
        key,
        reason: refusal.reason,
        ran: refusal.ran,
        retry_after_ms: refusal.retry_after_ms,
    };
    let mut response = json_response(status(refusal.reason), &rendered);
    if let Some(millis) = refusal.retry_after_ms {
        let seconds = HeaderValue::from(millis.div_ceil(1_000));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// Returns the HTTP status of a refusal.
fn status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::KeyTooOld | RefusalReason::KeyFromFuture | RefusalReason::BadTaskCount => {
            StatusCode::BAD_REQUEST
        }
        RefusalReason::KeyReused => StatusCode::CONFLICT,
        RefusalReason::UnknownService | RefusalReason::NotFound => StatusCode::NOT_FOUND,
        RefusalReason::OverQuota | RefusalReason::QueueFull | RefusalReason::DeadlineTooClose => {
            StatusCode::TOO_MANY_REQUESTS
        }
        RefusalReason::OutcomeUnknown | RefusalReason::HolderLost => StatusCode::BAD_GATEWAY,
        RefusalReason::NoAuthority
        | RefusalReason::HolderUnreachable
        | RefusalReason::LedgerFull
        | RefusalReason::NoTarget
        | RefusalReason::TargetsRefused
        | RefusalReason::Stopping => StatusCode::SERVICE_UNAVAILABLE,
    }
}
