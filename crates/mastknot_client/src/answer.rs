use http::StatusCode;
use serde_json::Value;

/// An entry's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The JSON body; null if there was none.
    pub body: Value,
}

impl Answer {
    /// A text field of the body.
    pub fn text(&self, field: &str) -> &str {
        self.body[field].as_str().unwrap_or_default()
    }

    /// The state of a submission: `complete`, `failed`, `pending`, `refused` or `error`.
    pub fn state(&self) -> &str {
        self.text("state")
    }
}
