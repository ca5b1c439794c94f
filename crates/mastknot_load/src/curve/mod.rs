//! Trade-off between response time and messages, as a curve over the weights of the policy.

use std::path::Path;

use mastknot_core::config::Profile;
use plotters::prelude::*;
use serde::Serialize;

use crate::bench::{Arm, BenchProfile, ComparePlan, compare, median_of};
use crate::error::LoadError;

/// Size of the plot, in pixels.
const SIZE: (u32, u32) = (900, 560);
/// Values of `ask_interval_ms` and `lend_batch`, one pair for each point of the curve.
const WEIGHTS: [(u32, u32); 6] = [(2, 1), (5, 4), (10, 8), (20, 16), (40, 32), (80, 64)];

/// Point of the curve: two weights of the policy and the results measured with them.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TradePoint {
    /// Weight `ask_interval_ms` of the policy.
    pub ask_interval_ms: u32,
    /// Weight `lend_batch` of the policy.
    pub lend_batch: u32,
    /// Messages for each started task, median over the seeds.
    pub messages_per_task: f64,
    /// Median response time divided by that of the omniscient queue, median over the seeds.
    pub response_over_omniscient_p50: f64,
    /// 99th percentile of the response time divided by that of the omniscient queue, median over
    /// the seeds.
    pub response_over_omniscient_p99: f64,
}

/// Function that returns one value of a point.
type PointValue = fn(&TradePoint) -> f64;

/// Measures the curve for the halls, delays and weights of a profile.
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

/// Draws the curve as an SVG file. Fails if the file cannot be written.
pub fn draw_trade(points: &[TradePoint], title: &str, file: &Path) -> Result<(), LoadError> {
    let drawn = try_draw(points, title, file);
    drawn.map_err(|error| LoadError::Plot {
        reason: error.to_string(),
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
    let highest = points
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
        .build_cartesian_2d(low..high, 1.0..highest + 0.02)?;
    chart
        .configure_mesh()
        .x_desc("messages per task")
        .y_desc("response time / omniscient queue")
        .draw()?;
    let curves: [(&str, RGBColor, PointValue); 2] = [
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
