//! Plots of figures in relation to their targets.

use std::path::Path;

use anyhow::Result;
use anyhow::anyhow;
use plotters::prelude::*;

use crate::figure::Figure;
use crate::pages::results::Results;
use crate::report::Report;

/// Width of a plot and its height without bars, in pixels.
const BASE_SIZE: (u32, u32) = (900, 80);

/// Height of one bar, in pixels.
const BAR_HEIGHT: u32 = 26;

/// Width of the area for the names of figures, in pixels.
const LABEL_WIDTH: u32 = 420;

/// Writes one plot for each benchmark that has a figure with a positive target.
pub(crate) fn write(docs: &Path, results: &Results) -> Result<()> {
    let folder = docs.join("plots");
    std::fs::create_dir_all(&folder)?;
    for report in results.all().values() {
        let figures: Vec<_> = report
            .figures
            .iter()
            .filter(|figure| ratio_to_target(figure).is_some())
            .collect();
        if !figures.is_empty() {
            let path = folder.join(format!("{}.svg", report.bench));
            draw(&path, report, &figures)
                .map_err(|error| anyhow!("{}: {error}", path.display()))?;
        }
    }
    Ok(())
}

/// Returns the ratio of the product's value to a positive target.
fn ratio_to_target(figure: &Figure) -> Option<f64> {
    figure
        .target
        .filter(|target| *target > 0.0)
        .map(|target| figure.product / target)
}

/// Draws a bar for the ratio of each figure to its target, and a mark for its baseline.
///
/// Ratios above 2 are cut off, and a line at 1 marks the targets.
fn draw(
    path: &Path,
    report: &Report,
    figures: &[&Figure],
) -> Result<(), Box<dyn std::error::Error>> {
    let count = u32::try_from(figures.len())?;
    let area =
        SVGBackend::new(path, (BASE_SIZE.0, BASE_SIZE.1 + BAR_HEIGHT * count)).into_drawing_area();
    area.fill(&WHITE)?;
    let rows = f64::from(count);
    let mut chart = ChartBuilder::on(&area)
        .caption(
            format!("{}: product in relation to the target (1)", report.bench),
            ("sans-serif", 16),
        )
        .margin(8)
        .y_label_area_size(LABEL_WIDTH)
        .x_label_area_size(30)
        .build_cartesian_2d(0.0..2.0, 0.0..rows)?;
    let name = |y: &f64| {
        figures
            .get(*y as usize)
            .map(|figure| figure.name.clone())
            .unwrap_or_default()
    };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(figures.len())
        .y_label_formatter(&name)
        .draw()?;
    for (row, figure) in figures.iter().enumerate() {
        let y = row as f64;
        let value = ratio_to_target(figure).unwrap_or_default().min(2.0);
        let color = if figure.met == Some(false) { RED } else { BLUE };
        chart.draw_series([Rectangle::new(
            [(0.0, y + 0.2), (value, y + 0.8)],
            color.mix(0.6).filled(),
        )])?;
        if let (Some(baseline), Some(target)) = (figure.baseline, figure.target) {
            let x = (baseline / target).min(2.0);
            chart.draw_series([PathElement::new(
                [(x, y + 0.1), (x, y + 0.9)],
                BLACK.stroke_width(2),
            )])?;
        }
    }
    chart.draw_series([PathElement::new([(1.0, 0.0), (1.0, rows)], BLACK.mix(0.5))])?;
    area.present()?;
    Ok(())
}
