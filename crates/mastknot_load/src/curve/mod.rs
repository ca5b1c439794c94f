//! The trade between response time and messages, as a curve over the policy's weights.

use std::path::Path;

use mastknot_core::config::Profile;
use plotters::prelude::*;
use serde::Serialize;

use crate::bench::{Arm, BenchProfile, ComparePlan, compare, median_of};
use crate::error::LoadError;

/// The size of the picture, in pixels.
const SIZE: (u32, u32) = (900, 560);
/// The weights that are varied together: `ask_interval_ms` and `lend_batch`.
const WEIGHTS: [(u32, u32); 6] = [(2, 1), (5, 4), (10, 8), (20, 16), (40, 32), (80, 64)];

/// One point of the curve.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TradePoint {
    /// The weight `ask_interval_ms`.
    pub ask_interval_ms: u32,
    /// The weight `lend_batch`.
    pub lend_batch: u32,
    /// Median over the seeds.
    pub messages_per_task: f64,
    /// Median over the seeds.
    pub response_over_omniscient_p50: f64,
    /// Median over the seeds.
    pub response_over_omniscient_p99: f64,
}

/// Reads one figure of a point.
type Figure = fn(&TradePoint) -> f64;

/// Measures the curve for one user's places.
pub fn measure_trade(profile: BenchProfile, seeds: &[u64]) -> Vec<TradePoint> {
    let point = |(ask_interval_ms, lend_batch): (u32, u32)| {
        let policy = Profile {
            ask_interval_ms,
            lend_batch,
            ..profile.policy()
        };
        let plan = ComparePlan {
            policy: Some(policy),
            arms: vec![Arm::Credits],
            seeds: seeds.to_vec(),
            ..ComparePlan::new(profile)
        };
        let reports = compare(&plan);
        TradePoint {
            ask_interval_ms,
            lend_batch,
            messages_per_task: median_of(&reports, |r| r.messages_per_task),
            response_over_omniscient_p50: median_of(&reports, |r| r.response_over_omniscient_p50),
            response_over_omniscient_p99: median_of(&reports, |r| r.response_over_omniscient_p99),
        }
    };
    WEIGHTS.into_iter().map(point).collect()
}

/// Draws the curve as an SVG file.
pub fn draw_trade(points: &[TradePoint], title: &str, file: &Path) -> Result<(), LoadError> {
    let drawn = try_draw(points, title, file);
    drawn.map_err(|error| LoadError::Plot {
        what: error.to_string(),
    })
}

fn try_draw(
    points: &[TradePoint],
    title: &str,
    file: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let x = |point: &TradePoint| point.messages_per_task;
    let most = points
        .iter()
        .map(|point| point.response_over_omniscient_p99)
        .fold(1.0, f64::max);
    let low = points.iter().map(x).fold(f64::MAX, f64::min) - 0.02;
    let high = points.iter().map(x).fold(0.0, f64::max) + 0.02;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(16)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(low..high, 1.0..most + 0.02)?;
    chart
        .configure_mesh()
        .x_desc("messages a task")
        .y_desc("response over omniscient queue")
        .draw()?;
    let curves: [(&str, RGBColor, Figure); 2] = [
        ("p50", BLUE, |point| point.response_over_omniscient_p50),
        ("p99", RED, |point| point.response_over_omniscient_p99),
    ];
    for (name, color, y) in curves {
        let line = points.iter().map(|point| (x(point), y(point)));
        chart
            .draw_series(LineSeries::new(line.clone(), color))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
        chart.draw_series(line.map(|at| Circle::new(at, 3, color.filled())))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
