use std::time::{SystemTime, UNIX_EPOCH};

use logforth::kv::{KeyView, ValueView, Visitor};
use logforth::record::Record;
use logforth::{Diagnostic, Error, Layout};
use serde_json::{Map, Value};

/// Log layout with one JSON object per line: `at` in seconds since the Unix epoch, `level`, `event`, and the fields of
/// the line itself.
#[derive(Debug, Default)]
pub(super) struct CompactLayout;

struct Fields<'a> {
    fields: &'a mut Map<String, Value>,
}

impl Visitor for Fields<'_> {
    fn visit(&mut self, key: KeyView, value: ValueView) -> Result<(), Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.fields.insert(key.to_string(), value);
        Ok(())
    }
}

impl Layout for CompactLayout {
    fn format(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<Vec<u8>, Error> {
        let mut fields = Map::new();
        fields.insert("at".to_owned(), seconds(record.time()).into());
        fields.insert("level".to_owned(), record.level().name().into());
        fields.insert("event".to_owned(), record.payload().to_string().into());
        record.key_values().visit(&mut Fields {
            fields: &mut fields,
        })?;
        Ok(Value::Object(fields).to_string().into_bytes())
    }
}

/// Returns the time since the Unix epoch in seconds, rounded down to milliseconds.
fn seconds(time: SystemTime) -> f64 {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as f64 / 1_000.0
}
