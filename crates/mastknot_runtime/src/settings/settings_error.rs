use snafu::Snafu;

/// What is wrong with a settings file.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{file}: cannot be read: {source}"))]
    Read {
        /// The file.
        file: String,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The file is no TOML, or a key is unknown, missing or of the wrong type.
    #[snafu(display("{file}, line {line}: `{text}`: {problem}"))]
    Parse {
        /// The file.
        file: String,
        /// The line, from one.
        line: usize,
        /// The line's text.
        text: String,
        /// What is wrong, with the keys or the type that would be right.
        problem: String,
    },
    /// A value is outside of its range.
    #[snafu(display("{file}: `{key}` is {value}, allowed is {allowed}"))]
    Range {
        /// The file.
        file: String,
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// What is allowed.
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

    /// Names the file of a failed check.
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
