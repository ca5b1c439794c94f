use serde_json::{Map, Value};

/// Fields that are told apart from the others.
const OWN_FIELDS: [&str; 4] = ["at", "event", "level", "request_id"];

/// One line that a process has logged.
pub(super) struct LogLine {
    process: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; what stands before its JSON object, as log collectors add it, is the process's
    /// name if it ends with one.
    pub(super) fn parse(file: &str, text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields = serde_json::from_str(&text[start..]).ok()?;
        let before = text[..start].split_whitespace().next_back();
        let process = before.unwrap_or(file).to_owned();
        Some(Self { process, fields })
    }

    /// The process that logged it.
    pub(super) fn process(&self) -> &str {
        &self.process
    }

    pub(super) fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    pub(super) fn number(&self, field: &str) -> Option<f64> {
        self.fields.get(field)?.as_f64()
    }

    pub(super) fn is_true(&self, field: &str) -> bool {
        self.fields.get(field) == Some(&Value::Bool(true))
    }

    pub(super) fn event(&self) -> &str {
        self.text("event").unwrap_or_default()
    }

    pub(super) fn at(&self) -> f64 {
        self.number("at").unwrap_or_default()
    }

    pub(super) fn request_id(&self) -> Option<&str> {
        self.text("request_id")
    }

    /// The job that the line names, by itself or as a part of a run's or a task's name.
    pub(super) fn job(&self) -> Option<&str> {
        let part = self.text("run").or_else(|| self.text("task"));
        let named = self.text("job");
        named.or_else(|| part?.split('/').next())
    }

    /// The line in words: when, which process, what, with which inputs.
    pub(super) fn sentence(&self, began: f64) -> String {
        let after_ms = (self.at() - began) * 1_000.0;
        let others = self.fields.iter();
        let others = others.filter(|(name, _)| !OWN_FIELDS.contains(&name.as_str()));
        let texts = others.map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            value => format!("{name}={value}"),
        });
        let texts: Vec<String> = texts.collect();
        let (process, event) = (&self.process, self.event());
        format!(
            "{after_ms:>8.0} ms  {process}  {event}  {}",
            texts.join(" ")
        )
    }
}
