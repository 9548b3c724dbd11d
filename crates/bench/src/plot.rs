//! Plots of benchmark tables as SVG files.

use crate::policy::{Deployment, PolicyRow};
use plotters::prelude::{
    ChartBuilder, Circle, Color, IntoDrawingArea, LineSeries, RED, SVGBackend, Text, WHITE,
};
use plotters::style::IntoFont;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (640, 420);

/// Plots trainer idle time against staleness, with one point per weight.
pub(crate) fn plot_weights(
    file: &str,
    deployment: Deployment,
    rows: &[PolicyRow],
) -> Result<(), String> {
    draw(file, deployment, rows).map_err(|error| error.to_string())
}

fn draw(
    file: &str,
    deployment: Deployment,
    rows: &[PolicyRow],
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let max_age = rows.iter().map(|row| row.age_mean_versions).fold(0.5, f64::max) * 1.2;
    let caption = format!("{deployment:?}: trainer idle time against staleness, by weight");
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 16).into_font())
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..max_age, 0.0..100.0)?;
    chart
        .configure_mesh()
        .x_desc("mean age of claimed samples, versions")
        .y_desc("trainer idle, %")
        .draw()?;
    let points: Vec<(f64, f64)> =
        rows.iter().map(|row| (row.age_mean_versions, row.idle_percent)).collect();
    chart.draw_series(LineSeries::new(points.iter().copied(), &RED))?;
    chart.draw_series(points.iter().map(|point| Circle::new(*point, 4, RED.filled())))?;
    chart.draw_series(rows.iter().zip(&points).map(|(row, (x, y))| {
        Text::new(row.variant.clone(), (*x, y + 4.0), ("sans-serif", 12).into_font())
    }))?;
    area.present()?;
    Ok(())
}
