//! Linear regression of measured values over size.

use serde::Serialize;

/// A line fitted to points by least squares.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// Value of the line at size 0.
    pub base: f64,
    /// Largest deviation of the line from a point, in percent of the point's value.
    pub error_percent: f64,
    /// Growth per unit of size.
    pub per_unit: f64,
    /// Measured points, each a size and a value.
    pub points: Vec<(f64, f64)>,
}

impl Slope {
    /// Fits a line to points of size and value.
    pub fn fit(points: Vec<(f64, f64)>) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let squares_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let products: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let per_unit = if squares_x > 0.0 { products / squares_x } else { 0.0 };
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
