use serde_json::{Map, Value};

/// Fields with a place of their own in a printed line; the others follow as `name=value`.
const OWN_FIELDS: [&str; 4] = ["at", "event", "level", "request_id"];

/// One JSON log line of an entry or a side.
pub(super) struct LogLine {
    process: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a log line. Log collectors may put text before the JSON object; the last word of that
    /// text is the name of the process. Without such text, the name of the file is used. Returns
    /// `None` for a line without a JSON object.
    pub(super) fn parse(file: &str, text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields = serde_json::from_str(&text[start..]).ok()?;
        let before = text[..start].split_whitespace().next_back();
        let process = before.unwrap_or(file).to_owned();
        Some(Self { process, fields })
    }

    /// Returns the name of the process that logged the line.
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

    /// Returns the job that the line names, either in the field `job` or as the first part of the
    /// name of a run or task.
    pub(super) fn job(&self) -> Option<&str> {
        let run_or_task = self.text("run").or_else(|| self.text("task"));
        let named = self.text("job");
        named.or_else(|| run_or_task?.split('/').next())
    }

    /// Returns the line in readable form: milliseconds since `start_s` (in seconds since 1970),
    /// process, event and the other fields.
    pub(super) fn sentence(&self, start_s: f64) -> String {
        let after_ms = (self.at() - start_s) * 1_000.0;
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
