//! Plots latency over time as SVG.

use std::io;
use std::path::Path;

use plotters::prelude::ChartBuilder;
use plotters::prelude::Color;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::Palette;
use plotters::prelude::Palette99;
use plotters::prelude::PathElement;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;

use super::runner::WorkspaceStats;

/// Width and height of the plot, in pixels.
const SIZE: (u32, u32) = (900, 420);

/// Plots each workspace's highest latency per tenth of a second and writes the plot to a file.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn write_plot(file: &Path, workspaces: &[WorkspaceStats]) -> io::Result<()> {
    draw(file, workspaces).map_err(|error| io::Error::other(error.to_string()))
}

fn draw(file: &Path, workspaces: &[WorkspaceStats]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let slots = workspaces.iter().map(|workspace| workspace.worst_us_by_100_ms.len()).max();
    let end_s = slots.unwrap_or(1).max(1) as f64 / 10.0;
    let worst_us = workspaces.iter().flat_map(|workspace| &workspace.worst_us_by_100_ms).max();
    let worst_ms = worst_us.copied().unwrap_or(1) as f64 / 1_000.0;
    let mut chart = ChartBuilder::on(&area)
        .caption("Worst latency in each tenth of a second", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end_s, 0.0..worst_ms.max(1.0) * 1.1)?;
    chart.configure_mesh().x_desc("seconds").y_desc("milliseconds").draw()?;
    for (index, workspace) in workspaces.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let point =
            |(slot, worst_us): (usize, &u64)| (slot as f64 / 10.0, *worst_us as f64 / 1_000.0);
        let points = workspace.worst_us_by_100_ms.iter().enumerate().map(point);
        chart
            .draw_series(LineSeries::new(points, &color))?
            .label(workspace.workspace.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
