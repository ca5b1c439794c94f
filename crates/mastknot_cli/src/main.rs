//! `mastknot`: command line for operators, and the demo.

mod commands;
mod demo;
mod error;
mod exit;
mod options;
mod output;

use std::process::ExitCode;

use options::{Command, LogSubject, options};

#[tokio::main]
async fn main() -> ExitCode {
    let command = options().run();
    let result = match command {
        Command::Check(check) => commands::check(&check),
        Command::ExplainLogs(wanted) => match wanted.subject {
            LogSubject::Summary => commands::summarize_logs(&wanted.logs),
            LogSubject::Id(id) => commands::explain_logs(&wanted.logs, &id),
        },
        Command::Demo(demo) => demo::run(demo).await,
        Command::Remote { target, action } => commands::run(target, action).await,
    };
    match result {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("mastknot: {error}");
            error.exit().into()
        }
    }
}
