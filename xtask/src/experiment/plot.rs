//! Bar chart of the utility share of each strategy in each scene.

use plotters::{
    prelude::{
        ChartBuilder, Color, IntoDrawingArea, Palette, Palette99, Rectangle, SVGBackend, WHITE,
    },
    style::BLACK,
};
use std::path::Path;

use crate::tools::Failure;

use super::summary::Summary;

/// Width and height of the chart, in pixels.
const SIZE: (u32, u32) = (960, 480);

/// Share of a scene's width that its bars fill.
const BAR_WIDTH_SHARE: f64 = 0.8;

/// Writes an SVG file with one group of bars per scene and one bar per strategy.
pub(super) fn draw(path: &Path, summaries: &[Summary]) -> Result<(), Failure> {
    let fail = |e: &dyn std::fmt::Display| Failure::Task(format!("{}: {e}", path.display()));
    let scenes = distinct(summaries.iter().map(|summary| summary.scene));
    let strategies = distinct(summaries.iter().map(|summary| summary.strategy));
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|e| fail(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(16)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .caption("utility share by scene and strategy", ("sans-serif", 18))
        .build_cartesian_2d(0.0..scenes.len() as f64, 0.0..1.0)
        .map_err(|e| fail(&e))?;
    let label = |x: &f64| scenes.get(*x as usize).map_or(String::new(), |s| (*s).to_owned());
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(scenes.len() + 1)
        .x_label_formatter(&label)
        .x_label_offset(SIZE.0 as i32 / (2 * scenes.len() as i32))
        .draw()
        .map_err(|e| fail(&e))?;
    for (index, strategy) in strategies.iter().enumerate() {
        let color = Palette99::pick(index).filled();
        let width = BAR_WIDTH_SHARE / strategies.len() as f64;
        let bars =
            summaries.iter().filter(|summary| summary.strategy == *strategy).map(|summary| {
                let scene =
                    scenes.iter().position(|s| *s == summary.scene).unwrap_or_default() as f64;
                let left = scene + (1.0 - BAR_WIDTH_SHARE) / 2.0 + width * index as f64;
                Rectangle::new([(left, 0.0), (left + width, summary.earned.mean)], color)
            });
        chart
            .draw_series(bars)
            .map_err(|e| fail(&e))?
            .label(*strategy)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|e| fail(&e))?;
    area.present().map_err(|e| fail(&e))
}

/// Returns the distinct values in the order of their first occurrence.
fn distinct<'a>(values: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut seen = Vec::new();
    for value in values {
        if !seen.contains(&value) {
            seen.push(value);
        }
    }
    seen
}
