//! Bars of a table's first figure, by scene and policy. The SVG backend needs no system fonts.

use std::path::Path;

use plotters::prelude::*;

use super::Error;
use super::table::Table;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (1200, 640);

/// Room for a bar's label, in pixels.
const LABEL: u32 = 420;

/// Draws one bar a row.
pub(super) fn bars(table: &Table, path: &Path) -> Result<(), Error> {
    draw(table, path).map_err(|e| Error::Plot {
        path: path.display().to_string(),
        reason: e.to_string(),
    })
}

fn draw(table: &Table, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let medians: Vec<f64> = table
        .rows
        .iter()
        .map(|row| row.figures[0].median())
        .collect();
    let most = medians.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
    let title = format!("{}, median over seeds", table.columns[0]);
    let style = ("sans-serif", 14).into_font();
    root.draw(&Text::new(title, (10, 10), style.clone()))?;
    let step = (SIZE.1 - 40) / u32::try_from(table.rows.len().max(1))?;
    for (i, (row, median)) in table.rows.iter().zip(&medians).enumerate() {
        let top = i32::try_from(40 + u32::try_from(i)? * step)?;
        let bottom = top + i32::try_from(step * 7 / 10)?;
        let left = i32::try_from(LABEL)?;
        let length = f64::from(SIZE.0 - LABEL - 100) * median / most;
        let bar = [(left, top), (left + length as i32, bottom)];
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
            (left + length as i32 + 6, top),
            style.clone(),
        ))?;
    }
    root.present()?;
    Ok(())
}
