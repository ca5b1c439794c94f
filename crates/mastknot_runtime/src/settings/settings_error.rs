use snafu::Snafu;

/// Reasons why a settings file is rejected.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{file}: cannot be read: {source}"))]
    Read {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or a key is unknown, missing or of the wrong type.
    #[snafu(display("{file}, line {line}: `{text}`: {problem}"))]
    Parse {
        /// Path of the file.
        file: String,
        /// Number of the line, starting at one.
        line: usize,
        /// Text of the line.
        text: String,
        /// Message of the TOML parser, which names the expected keys or type.
        problem: String,
    },
    /// A value is not allowed for its key.
    #[snafu(display("{file}: `{key}` is {value}, allowed is {allowed}"))]
    Range {
        /// Path of the file.
        file: String,
        /// Key of the setting.
        key: String,
        /// Rejected value.
        value: String,
        /// Allowed values.
        allowed: String,
    },
}

impl SettingsError {
    pub(super) fn parse(file: &str, text: &str, error: &toml::de::Error) -> Self {
        let start = error.span().map_or(0, |span| span.start);
        let before = &text[..start.min(text.len())];
        let line = before.lines().count().max(1);
        let at_line_start = before.ends_with('\n');
        let line = if at_line_start { line + 1 } else { line };
        let line_text = text.lines().nth(line - 1).unwrap_or_default();
        Self::Parse {
            file: file.to_owned(),
            line,
            text: line_text.trim().to_owned(),
            problem: error.message().to_owned(),
        }
    }

    /// Adds the path of the file to an error of a check.
    pub fn in_file(self, name: &str) -> Self {
        match self {
            Self::Range {
                key,
                value,
                allowed,
                ..
            } => Self::Range {
                file: name.to_owned(),
                key,
                value,
                allowed,
            },
            other => other,
        }
    }
}
