//! Command line options.

mod command;
mod parse;

pub(crate) use command::{
    Action, Check, Command, Demo, ExplainLogs, Format, LogSubject, SettingsKind, Target,
};
pub(crate) use parse::options;
