//! Replacement of the generated section of a documentation page.

use std::fs;
use std::path::Path;

use anyhow::Context;
use anyhow::Result;

/// Marker line before the generated section.
const BEGIN_MARKER: &str = "<!-- written by skylark-bench pages: begin -->";

/// Marker line after the generated section.
const END_MARKER: &str = "<!-- written by skylark-bench pages: end -->";

/// Replaces the text between the marker lines of a page.
pub(crate) fn replace_generated_section(page: &Path, text: &str) -> Result<()> {
    let old =
        fs::read_to_string(page).with_context(|| format!("failed to read {}", page.display()))?;
    let (before, rest) = old
        .split_once(BEGIN_MARKER)
        .with_context(|| format!("{} lacks the line `{BEGIN_MARKER}`", page.display()))?;
    let (_, after) = rest
        .split_once(END_MARKER)
        .with_context(|| format!("{} lacks the line `{END_MARKER}`", page.display()))?;
    fs::write(
        page,
        format!("{before}{BEGIN_MARKER}\n{text}{END_MARKER}{after}"),
    )?;
    Ok(())
}
