//! Structured logs on standard error, or bounded on standard output.

mod bounded_stdout;
mod compact_layout;

use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::{JsonLayout, TextLayout};
use serde::Deserialize;

use bounded_stdout::BoundedStdout;
use compact_layout::CompactLayout;

use crate::settings::{CheckSettings, SettingsError, check_text};

/// The levels that a log setting may name.
const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One line of text each.
    #[default]
    Text,
    /// One JSON object each.
    Json,
}

/// The `[log]` table of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Text or JSON.
    pub format: LogFormat,
    /// The lowest level that is written.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            level: "info".to_owned(),
        }
    }
}

impl CheckSettings for LogSettings {
    fn check(&self) -> Result<(), SettingsError> {
        check_text("log.level", &self.level, &LEVELS)
    }
}

/// Starts logging; a second call in one process changes nothing.
pub fn start_logs(settings: &LogSettings) {
    let filter = || RustLogFilterBuilder::from_spec(&settings.level).build();
    let starter = logforth::starter_log::builder();
    let starter = match settings.format {
        LogFormat::Text => starter.dispatch(|dispatch| {
            let stderr = Stderr::default().with_layout(TextLayout::default().no_color());
            dispatch.filter(filter()).append(stderr)
        }),
        LogFormat::Json => starter.dispatch(|dispatch| {
            let stderr = Stderr::default().with_layout(JsonLayout::default());
            dispatch.filter(filter()).append(stderr)
        }),
    };
    // An embedding program may have its own logger already.
    let _ = starter.try_apply();
}

/// Starts logging to standard output, one JSON object a line.
///
/// Lines wait in a bounded buffer that a thread of its own writes out; what does not fit is dropped
/// and counted, so that a slow reader never holds up the process.
pub fn start_bounded_logs(level: &str) {
    let filter = RustLogFilterBuilder::from_spec(level).build();
    let starter = logforth::starter_log::builder();
    let starter = starter.dispatch(|dispatch| {
        let stdout = BoundedStdout::start(CompactLayout);
        dispatch.filter(filter).append(stdout)
    });
    let _ = starter.try_apply();
}
