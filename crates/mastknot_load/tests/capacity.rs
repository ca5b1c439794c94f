//! The figures that docs/CAPACITY.md carries on to the designed size follow from the measured ones on the same row. No
//! time is measured.

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");
const HEAD: &str = "| role | 30 | 100 | 300 | power | carried on |";
/// The largest size that is measured, in machines.
const MEASURED: f64 = 300.0;
/// The size that the figures are carried on to.
const CARRIED_ON_TO: f64 = 5_245.0;
/// The power stands there with two digits: half of the last one, over this distance, and the rounding of the figures.
const TOLERANCE: f64 = 0.03;

/// A row of the table: its name, the figure of the busiest node at 300 machines, the power of its growth with the number
/// of machines, and what that leads to.
struct Row {
    what: String,
    measured: f64,
    power: f64,
    carried_on: f64,
}

fn number(text: &str) -> f64 {
    let text = text.trim().replace(',', "");
    text.parse()
        .unwrap_or_else(|_| panic!("{text:?} is no number"))
}

/// The figure of the busiest node, which stands last where there is one of the middle as well.
fn busiest(cell: &str) -> f64 {
    number(cell.rsplit(", ").next().unwrap_or_default())
}

fn rows() -> Vec<Row> {
    let tables = PAGE.split(HEAD).skip(1);
    let lines = tables.flat_map(|table| table.lines().skip(2).take_while(|line| !line.is_empty()));
    let row = |line: &str| {
        let cells: Vec<&str> = line.trim_matches('|').split('|').collect();
        let [what, _, _, measured, power, carried_on] = cells[..] else {
            panic!("not six cells: {line}");
        };
        Row {
            what: what.trim().to_owned(),
            measured: busiest(measured),
            power: number(power),
            carried_on: number(carried_on),
        }
    };
    lines.map(row).collect()
}

#[test]
fn what_the_page_carries_on_follows_from_what_was_measured() {
    let rows = rows();
    assert!(rows.len() >= 22, "{} rows", rows.len());
    for row in rows {
        // What falls with the size is carried on as if it did not.
        let power = row.power.max(0.0);
        let expected = row.measured * (CARRIED_ON_TO / MEASURED).powf(power);
        let off = (row.carried_on - expected).abs() / expected.max(f64::MIN_POSITIVE);
        assert!(
            off <= TOLERANCE,
            "{}: {} stands there, {expected:.1} follows",
            row.what,
            row.carried_on
        );
    }
}
