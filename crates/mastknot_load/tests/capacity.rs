//! Checks that the figures which docs/CAPACITY.md extrapolates to the designed size follow from the
//! measured figures in the same row. The test itself measures nothing.

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");
const HEAD: &str = "| role | 30 | 100 | 300 | power | carried on |";
/// Largest measured size, in machines.
const MEASURED_SIZE: f64 = 300.0;
/// Size to which the figures are extrapolated, in machines.
const EXTRAPOLATED_SIZE: f64 = 5_245.0;
/// Tolerated relative error. The page gives the power with two digits, so the error of half a digit
/// grows with the ratio of the sizes; the figures are rounded as well.
const TOLERANCE: f64 = 0.03;

/// Row of the table: its name, the figure of the busiest node at 300 machines, the exponent of its
/// growth with the number of machines, and the extrapolated figure.
struct Row {
    name: String,
    measured: f64,
    power: f64,
    extrapolated: f64,
}

fn number(text: &str) -> f64 {
    let text = text.trim().replace(',', "");
    text.parse()
        .unwrap_or_else(|_| panic!("{text:?} is not a number"))
}

/// Returns the figure of the busiest node, which is the last one in a cell that also has the figure
/// of a median node.
fn busiest_figure(cell: &str) -> f64 {
    number(cell.rsplit(", ").next().unwrap_or_default())
}

fn rows() -> Vec<Row> {
    let tables = PAGE.split(HEAD).skip(1);
    let lines = tables.flat_map(|table| table.lines().skip(2).take_while(|line| !line.is_empty()));
    let row = |line: &str| {
        let cells: Vec<&str> = line.trim_matches('|').split('|').collect();
        let [name, _, _, measured, power, extrapolated] = cells[..] else {
            panic!("not six cells: {line}");
        };
        Row {
            name: name.trim().to_owned(),
            measured: busiest_figure(measured),
            power: number(power),
            extrapolated: number(extrapolated),
        }
    };
    lines.map(row).collect()
}

#[test]
fn extrapolated_figures_follow_from_the_measured_ones() {
    let rows = rows();
    assert!(rows.len() >= 22, "{} rows", rows.len());
    for row in rows {
        // A figure that falls with the size is extrapolated as a constant.
        let power = row.power.max(0.0);
        let expected = row.measured * (EXTRAPOLATED_SIZE / MEASURED_SIZE).powf(power);
        let relative_error = (row.extrapolated - expected).abs() / expected.max(f64::MIN_POSITIVE);
        assert!(
            relative_error <= TOLERANCE,
            "{}: the page has {}, the measured figure gives {expected:.1}",
            row.name,
            row.extrapolated
        );
    }
}
