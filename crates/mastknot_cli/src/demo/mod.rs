//! Demonstration of a complete system inside this process, one guarantee a step.

mod steps;

use mastknot_harness::{Harness, Plan};
use serde_json::{Value, json};

use crate::error::CliError;
use crate::exit::Exit;
use crate::options::Demo;

/// Prints the steps of the demo as text or JSON.
pub(crate) struct Reporter {
    json: bool,
    number: u32,
}

impl Reporter {
    /// Prints one step: its name, the guarantee that it shows, and the observed facts.
    pub(crate) fn step(&mut self, name: &str, shows: &str, facts: Value) {
        self.number += 1;
        let number = self.number;
        if self.json {
            let line = json!({ "step": number, "name": name, "shows": shows, "facts": facts });
            println!("{line}");
            return;
        }
        println!("{number}. {name}: {shows}");
        if let Value::Object(facts) = facts {
            for (fact, value) in facts {
                match value {
                    Value::String(text) => println!("     {fact}: {text}"),
                    other => println!("     {fact}: {other}"),
                }
            }
        }
    }
}

/// Runs `mastknot demo`.
pub(crate) async fn run(demo: Demo) -> Result<Exit, CliError> {
    let plan = Plan::new(["windhoek-1", "windhoek-2"])
        .entries(2)
        .sides(4)
        .slots(4);
    let harness = Harness::start(plan).await?;
    let mut reporter = Reporter {
        json: demo.json,
        number: 0,
    };
    let harness = steps::run_all(harness, &mut reporter).await?;
    if demo.keep {
        keep(&harness).await;
    }
    Ok(Exit::Done)
}

/// Prints the addresses of the system and keeps it running until the process is interrupted.
async fn keep(harness: &Harness) {
    for address in harness.callers() {
        println!("callers:   {address}");
    }
    for address in harness.operators() {
        println!("operators: {address}");
    }
    println!("running; interrupt (Ctrl-C) to end");
    let _ = tokio::signal::ctrl_c().await;
}
