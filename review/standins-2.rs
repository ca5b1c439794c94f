//! Stand-ins and tests of the second review: `standins CASE FOLDER`, started by `review/N/run.sh` at the root of the
//! repository. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

#[path = "standins-2-bed.rs"]
mod bed;
#[path = "standins-2-clients.rs"]
mod clients;
#[path = "standins-2-dropped-route.rs"]
mod dropped_route;
#[path = "standins-2-evacuation.rs"]
mod evacuation;
#[path = "standins-2-http.rs"]
mod http;
#[path = "standins-2-json.rs"]
mod json;
#[path = "standins-2-moved-store.rs"]
mod moved_store;
#[path = "standins-2-other-writer.rs"]
mod other_writer;
#[path = "standins-2-record.rs"]
mod record;
#[path = "standins-2-store.rs"]
mod store;
#[path = "standins-2-worker.rs"]
mod worker;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use record::Record;

/// Result of a case: whether the rule held, or why the case could not run.
pub type Outcome = Result<bool, String>;

/// What a case is given.
pub struct Case {
    pub record: Record,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

fn run(name: &str, folder: &str) -> Outcome {
    let record = Record::create(&Path::new(folder).join("record.txt")).map_err(|error| error.to_string())?;
    let temporary = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).map_err(|error| error.to_string())?;
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let case = Case { record, folder: temporary.clone(), has_trouble };
    let outcome = match name {
        "dropped-route" => dropped_route::run(&case),
        "moved-store" => moved_store::run(&case),
        "other-writer" => other_writer::run(&case),
        "evacuation" => evacuation::run(&case),
        _ => Err(format!("no case {name}")),
    };
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let text = match &outcome {
        Ok(true) => "result: the rule held".to_owned(),
        Ok(false) => "result: the rule was broken".to_owned(),
        Err(error) => format!("result: the case could not run: {error}"),
    };
    case.record.line(&text);
    println!("{text}");
    outcome
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("standins CASE FOLDER");
        return ExitCode::from(2);
    };
    match run(name, folder) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(_) => ExitCode::from(2),
    }
}
