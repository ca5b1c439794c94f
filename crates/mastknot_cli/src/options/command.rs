use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    Table,
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err(format!(
                "{text:?} is not a format; the formats are table, json"
            )),
        }
    }
}

/// Role whose settings a file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SettingsKind {
    Entry,
    Side,
}

impl FromStr for SettingsKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "entry" => Ok(Self::Entry),
            "side" => Ok(Self::Side),
            _ => Err(format!("{text:?} has no settings; choose entry or side")),
        }
    }
}

/// Entries to call and the output format.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) format: Format,
}

/// Options of `mastknot check`.
#[derive(Clone, Debug)]
pub(crate) struct Check {
    pub(crate) kind: SettingsKind,
    pub(crate) file: PathBuf,
}

/// Options of `mastknot explain --logs`.
#[derive(Clone, Debug)]
pub(crate) struct ExplainLogs {
    pub(crate) logs: Vec<PathBuf>,
    pub(crate) subject: LogSubject,
}

/// Subject of `mastknot explain --logs`.
#[derive(Clone, Debug)]
pub(crate) enum LogSubject {
    /// Summary of all jobs that were not done in time.
    Summary,
    /// Id of one request, job or run.
    Id(String),
}

/// Options of `mastknot demo`.
#[derive(Clone, Debug)]
pub(crate) struct Demo {
    pub(crate) json: bool,
    pub(crate) keep: bool,
}

/// Command that calls entries.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    Get {
        kind: String,
        name: Option<String>,
    },
    Apply {
        file: PathBuf,
    },
    Delete {
        kind: String,
        name: String,
    },
    Watch {
        kind: String,
        from: Option<u64>,
        count: Option<u64>,
    },
    Wait {
        version: Option<u64>,
        timeout: Duration,
    },
    Explain {
        key: String,
    },
    Drain {
        target: String,
    },
    DrainHall {
        reason: String,
        hall: String,
    },
    ReturnHall {
        hall: String,
    },
}

/// Parsed command line.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    Remote { target: Target, action: Action },
    Check(Check),
    ExplainLogs(ExplainLogs),
    Demo(Demo),
}
