//! Straight lines through measured points.

use serde::Serialize;

/// A line fitted to points by least squares.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// Value at size 0.
    pub base: f64,
    /// The largest difference between a point and the line, in percent of the point.
    pub error_percent: f64,
    /// Growth for each unit of size.
    pub per_unit: f64,
    /// The points: size and value.
    pub points: Vec<(f64, f64)>,
}

impl Slope {
    /// Fits a line to points.
    pub fn fit(points: Vec<(f64, f64)>) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let along: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let per_unit = if spread > 0.0 { along / spread } else { 0.0 };
        let base = mean_y - per_unit * mean_x;
        let error = |(x, y): &(f64, f64)| {
            if *y == 0.0 { 0.0 } else { 100.0 * (base + per_unit * x - y).abs() / y.abs() }
        };
        let error_percent = points.iter().map(error).fold(0.0, f64::max);
        Self { base, error_percent, per_unit, points }
    }

    /// Returns the line's value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.per_unit * size
    }
}
