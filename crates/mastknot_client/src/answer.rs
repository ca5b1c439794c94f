use http::StatusCode;
use serde_json::Value;

/// Answer of an entry to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// JSON body of the answer; null if it is empty.
    pub body: Value,
}

impl Answer {
    /// Returns a text field of the body; an empty text if the field is missing or not a text.
    pub fn text(&self, field: &str) -> &str {
        self.body[field].as_str().unwrap_or_default()
    }

    /// Returns the state of a submission: `complete`, `failed`, `pending`, `refused` or `error`.
    pub fn state(&self) -> &str {
        self.text("state")
    }
}
