//! The page `docs/MEASURES.md`.

use std::fmt::Write;
use std::path::Path;

use anyhow::Result;

use crate::figure::Figure;
use crate::pages::generated_section::replace_generated_section;
use crate::pages::results::Results;
use crate::report::Report;

/// Writes a table for each saved result into the page.
pub(crate) fn write(docs: &Path, results: &Results) -> Result<()> {
    let mut text = String::new();
    for report in results.all().values() {
        write_table(&mut text, report)?;
    }
    replace_generated_section(&docs.join("MEASURES.md"), &text)
}

fn write_table(text: &mut String, report: &Report) -> Result<()> {
    writeln!(
        text,
        "\n### `skylark-bench {}`, seed {}\n",
        report.bench, report.seed
    )?;
    writeln!(
        text,
        "| figure | unit | target | product | baseline | met |"
    )?;
    writeln!(text, "| --- | --- | --- | --- | --- | --- |")?;
    for figure in &report.figures {
        write_row(text, figure)?;
    }
    writeln!(text)?;
    Ok(())
}

fn write_row(text: &mut String, figure: &Figure) -> Result<()> {
    let met = match figure.met {
        Some(true) => "yes",
        Some(false) => "**no**",
        None => "",
    };
    writeln!(
        text,
        "| {} | {} | {} | {} | {} | {met} |",
        figure.name,
        figure.unit,
        format_optional(figure.target),
        format_number(figure.product),
        format_optional(figure.baseline),
    )?;
    Ok(())
}

fn format_optional(value: Option<f64>) -> String {
    value.map(format_number).unwrap_or_default()
}

/// Formats a number for a table: whole numbers and those from 1,000 on without decimals, smaller ones with about
/// four significant digits.
pub(crate) fn format_number(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude >= 1_000.0 || value.fract() == 0.0 {
        return format!("{value:.0}");
    }
    match magnitude {
        m if m >= 100.0 => format!("{value:.1}"),
        m if m >= 10.0 => format!("{value:.2}"),
        m if m >= 0.1 => format!("{value:.3}"),
        _ => format!("{value:.5}"),
    }
}
