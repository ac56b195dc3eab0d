//! A bar chart of a table's first column, one bar per scene and policy.
//!
//! It is SVG because that backend of the plotting library needs no system fonts.

use std::path::Path;

use plotters::prelude::*;

use super::Error;
use super::table::Table;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (1200, 640);

/// Width of the column with the labels, in pixels.
const LABEL_WIDTH: u32 = 420;

/// Writes a plot with one bar for each row of the table.
pub(super) fn draw_bars(table: &Table, path: &Path) -> Result<(), Error> {
    draw(table, path).map_err(|e| Error::Plot {
        path: path.display().to_string(),
        reason: e.to_string(),
    })
}

fn draw(table: &Table, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let medians: Vec<f64> = table
        .rows
        .iter()
        .map(|row| row.figures[0].median())
        .collect();
    let max = medians.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
    let title = format!("{}, median over seeds", table.columns[0]);
    let style = ("sans-serif", 14).into_font();
    root.draw(&Text::new(title, (10, 10), style.clone()))?;
    let row_height = (PLOT_SIZE.1 - 40) / u32::try_from(table.rows.len().max(1))?;
    for (i, (row, median)) in table.rows.iter().zip(&medians).enumerate() {
        let top = i32::try_from(40 + u32::try_from(i)? * row_height)?;
        let bottom = top + i32::try_from(row_height * 7 / 10)?;
        let left = i32::try_from(LABEL_WIDTH)?;
        let bar_length = f64::from(PLOT_SIZE.0 - LABEL_WIDTH - 100) * median / max;
        let bar = [(left, top), (left + bar_length as i32, bottom)];
        let color = if row.policy == "daisyquay" {
            BLUE
        } else {
            RGBColor(150, 150, 150)
        };
        root.draw(&Rectangle::new(bar, color.filled()))?;
        let label = format!("{} / {}", row.scene, row.policy);
        root.draw(&Text::new(label, (10, top), style.clone()))?;
        let value = format!("{median:.3}");
        root.draw(&Text::new(
            value,
            (left + bar_length as i32 + 6, top),
            style.clone(),
        ))?;
    }
    root.present()?;
    Ok(())
}
