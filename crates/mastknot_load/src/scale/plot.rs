use std::path::Path;

use plotters::prelude::*;

use super::{ScaleArm, ScalePoint};
use crate::error::LoadError;

/// The size of the picture, in pixels.
const SIZE: (u32, u32) = (900, 560);

/// Draws the messages on an entry's link over the number of sides, one line an arm.
pub fn draw_scale(points: &[ScalePoint], file: &Path) -> Result<(), LoadError> {
    let drawn = try_draw(points, file);
    drawn.map_err(|error| LoadError::Plot {
        what: error.to_string(),
    })
}

fn try_draw(points: &[ScalePoint], file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let most_sides = points.iter().map(|point| point.sides).max().unwrap_or(1);
    let messages = points.iter().map(|point| point.messages_per_entry);
    let most_messages = messages.fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption("Messages on one entry's link, a second", ("sans-serif", 20))
        .margin(20)
        .x_label_area_size(45)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..most_sides as f64 * 1.05, 0.0..most_messages * 1.1)?;
    chart.configure_mesh().x_desc("sides").draw()?;
    for (arm, color, name) in [
        (ScaleArm::Usual, BLUE, "usual links"),
        (ScaleArm::AllLinks, RED, "all links"),
    ] {
        let line: Vec<(f64, f64)> = points
            .iter()
            .filter(|point| point.arm == arm)
            .map(|point| (point.sides as f64, point.messages_per_entry))
            .collect();
        chart
            .draw_series(LineSeries::new(line.clone(), color))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
        chart.draw_series(
            line.into_iter()
                .map(|at| Circle::new(at, 3, color.filled())),
        )?;
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}
