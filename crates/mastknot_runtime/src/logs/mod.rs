//! Structured logs, either on standard error or through a bounded buffer on standard output.

mod bounded_stdout;
mod compact_layout;

use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::{JsonLayout, TextLayout};
use serde::Deserialize;

use bounded_stdout::BoundedStdout;
use compact_layout::CompactLayout;

use crate::settings::{CheckSettings, SettingsError, check_text};

/// Valid values of the log level setting.
const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One line of text per event.
    #[default]
    Text,
    /// One JSON object per event.
    Json,
}

/// The `[log]` table of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Format of log lines.
    pub format: LogFormat,
    /// Least severe level that is written.
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

/// Starts logging to standard error. Does nothing if a logger is installed already.
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
    // A program that embeds this crate may have installed its own logger.
    let _ = starter.try_apply();
}

/// Starts logging to standard output, with one JSON object per line.
///
/// A separate thread writes the lines from a bounded buffer. Lines that do not fit are dropped and counted, so that
/// a slow reader never blocks the process.
pub fn start_bounded_logs(level: &str) {
    let filter = RustLogFilterBuilder::from_spec(level).build();
    let starter = logforth::starter_log::builder();
    let starter = starter.dispatch(|dispatch| {
        let stdout = BoundedStdout::start(CompactLayout);
        dispatch.filter(filter).append(stdout)
    });
    let _ = starter.try_apply();
}
