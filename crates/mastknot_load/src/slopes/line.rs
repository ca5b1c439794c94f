use serde::Serialize;

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// What was varied.
    pub x: f64,
    /// What was measured.
    pub y: f64,
}

/// A line through measured points, by least squares.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The points.
    pub points: Vec<Point>,
    /// The growth of `y` for each unit of `x`.
    pub slope: f64,
    /// The value of the line at zero.
    pub intercept: f64,
    /// How much of the spread the line explains, from 0 to 1.
    pub fit: f64,
}

impl Line {
    /// Fits a line.
    ///
    /// # Examples
    ///
    /// ```
    /// use mastknot_load::{Line, Point};
    ///
    /// let points = [(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)].map(|(x, y)| Point { x, y });
    /// let line = Line::through(points.to_vec());
    /// assert!((line.slope - 2.0).abs() < 1e-9);
    /// assert!((line.fit - 1.0).abs() < 1e-9);
    /// ```
    pub fn through(points: Vec<Point>) -> Self {
        let pairs: Vec<(f64, f64)> = points.iter().map(|point| (point.x, point.y)).collect();
        let fitted = linreg::linear_regression_of::<f64, f64, f64>(&pairs);
        let (slope, intercept) = fitted.unwrap_or((0.0, 0.0));
        let mean = pairs.iter().map(|(_, y)| y).sum::<f64>() / pairs.len().max(1) as f64;
        let total: f64 = pairs.iter().map(|(_, y)| (y - mean).powi(2)).sum();
        let left: f64 = pairs
            .iter()
            .map(|(x, y)| (y - (slope * x + intercept)).powi(2))
            .sum();
        let fit = if total == 0.0 {
            1.0
        } else {
            1.0 - left / total
        };
        Self {
            points,
            slope,
            intercept,
            fit,
        }
    }

    /// The value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.slope * x + self.intercept
    }
}
