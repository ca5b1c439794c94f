//! The figures of docs/CAPACITY.md follow from the committed slopes: the arithmetic is done here
//! again, from the measured points on. No time is measured.

use std::collections::BTreeMap;

use mastknot_load::{Line, Point};
use serde::Deserialize;

const SLOPES: &str = include_str!("../../../docs/capacity/slopes.json");
const PAGE: &str = include_str!("../../../docs/CAPACITY.md");
const BEGIN: &str = "<!-- derived from docs/capacity/slopes.json -->\n";
const END: &str = "<!-- end of derived -->";
const HEAD: &str = "| what | worked out from | figure | budget |\n| --- | --- | --- | --- |\n";

// The designed size.
const SIDES: f64 = 1_100.0;
const TASKS: f64 = 33_000.0;
const ENTRIES: f64 = 8.0;
const CHANGES_A_DAY: f64 = 1_100.0;
// Assumed: tasks in a job on average, and the oldest key at this size.
const TASKS_A_JOB: f64 = 33.0;
const KEY_AGE_S: f64 = 240.0;
/// What a message of its own costs on the wire besides its bytes: h2 frame head, TCP and IP heads,
/// and the acknowledgement.
const MESSAGE_BYTES: f64 = 9.0 + 52.0 + 52.0;
const MIB: f64 = 1024.0 * 1024.0;
// The budgets.
const CPU: Option<f64> = Some(16.0);
const MEMORY: Option<f64> = Some(64.0);
const BYTES: Option<f64> = Some(5_000.0);
const READS: Option<f64> = Some(2_000.0);

#[derive(Deserialize)]
struct Stored {
    name: String,
    slope: f64,
    points: Vec<StoredPoint>,
}

#[derive(Deserialize)]
struct StoredPoint {
    x: f64,
    y: f64,
}

fn lines() -> BTreeMap<String, Line> {
    let stored: Vec<Stored> = serde_json::from_str(SLOPES).unwrap();
    let line = |stored: Stored| {
        let points = stored.points.iter().map(|p| Point { x: p.x, y: p.y });
        let line = Line::through(points.collect());
        let is_same = (line.slope - stored.slope).abs() <= 1e-6 * stored.slope.abs().max(1e-9);
        assert!(
            is_same,
            "{}: {} is not {}",
            stored.name, line.slope, stored.slope
        );
        (stored.name, line)
    };
    stored.into_iter().map(line).collect()
}

fn row(what: &str, how: &str, value: f64, unit: &str, budget: Option<f64>) -> String {
    let ratio = budget.map_or("-".to_owned(), |budget| {
        format!("{budget:.0} {unit}: {:.2} of it", value / budget)
    });
    format!("| {what} | {how} | {value:.2} {unit} | {ratio} |\n")
}

fn entry_rows(lines: &BTreeMap<String, Line>) -> String {
    let of = |name: &str| &lines[name];
    let cpu = of("entry_cpu_per_side").at(SIDES);
    let work = of("entry_cpu_per_task").slope * TASKS / ENTRIES;
    let sides = of("entry_memory_per_side").at(SIDES) / MIB;
    let records = TASKS / TASKS_A_JOB / ENTRIES * KEY_AGE_S;
    let ledger = of("entry_memory_per_record").slope * records / MIB;
    let messages = of("entry_control_messages_per_entry").at(ENTRIES);
    let bytes = of("entry_control_bytes_per_entry").at(ENTRIES);
    let wire = bytes + messages * MESSAGE_BYTES;
    let per_task = "entry_cpu_per_task, slope x 33,000 / 8";
    let per_record = "entry_memory_per_record, slope x 33,000 / 33 / 8 x 240 s";
    let per_entry = "entry_control_messages_per_entry at 8";
    let per_byte = "entry_control_bytes_per_entry at 8, and 113 bytes a message";
    [
        row(
            "entry, control: processor",
            "entry_cpu_per_side at 1,100",
            cpu,
            "ms/s",
            CPU,
        ),
        row("entry, work: processor", per_task, work, "ms/s", None),
        row(
            "entry: memory, no ledger",
            "entry_memory_per_side at 1,100",
            sides,
            "MiB",
            MEMORY,
        ),
        row("entry: ledger", per_record, ledger, "MiB", None),
        row(
            "entry: memory",
            "the two together",
            sides + ledger,
            "MiB",
            MEMORY,
        ),
        row("entry, control: messages", per_entry, messages, "/s", None),
        row(
            "entry, control: bytes on the wire",
            per_byte,
            wire,
            "B/s",
            BYTES,
        ),
    ]
    .concat()
}

fn other_rows(lines: &BTreeMap<String, Line>) -> String {
    let of = |name: &str| &lines[name];
    let cpu = of("side_cpu_per_entry").at(ENTRIES);
    let work = of("side_cpu_per_task").slope * TASKS / SIDES;
    let memory = of("side_memory_per_entry").at(ENTRIES) / MIB;
    let store = of("store_calls_per_entry").at(ENTRIES);
    let change = of("entry_control_bytes_per_change").slope / 50.0 * SIDES;
    let daily = change * CHANGES_A_DAY / 86_400.0 / ENTRIES;
    let per_change = "entry_control_bytes_per_change, slope / 50 sides x 1,100";
    let per_day = "the same x 1,100 / 86,400 s / 8";
    let per_task = "side_cpu_per_task, slope x 33,000 / 1,100";
    [
        row(
            "side, control: processor",
            "side_cpu_per_entry at 8",
            cpu,
            "ms/s",
            CPU,
        ),
        row("side, work: processor", per_task, work, "ms/s", None),
        row(
            "side: memory, idle",
            "side_memory_per_entry at 8",
            memory,
            "MiB",
            MEMORY,
        ),
        row(
            "store: calls in quiet",
            "store_calls_per_entry at 8",
            store,
            "/s",
            READS,
        ),
        row(
            "one change: control bytes, all entries",
            per_change,
            change,
            "B",
            None,
        ),
        row(
            "changes: bytes at an entry, over a day",
            per_day,
            daily,
            "B/s",
            BYTES,
        ),
    ]
    .concat()
}

#[test]
fn the_page_follows_from_the_slopes() {
    let begin = PAGE.find(BEGIN).expect("the page has derived figures") + BEGIN.len();
    let end = PAGE.find(END).expect("the derived figures end");
    let lines = lines();
    let derived = format!("{HEAD}{}{}", entry_rows(&lines), other_rows(&lines));
    assert!(
        PAGE[begin..end] == derived,
        "the page should say:\n{derived}"
    );
}
