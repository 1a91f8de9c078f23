//! Parts of pages that are written by this program.

use std::fs;
use std::path::Path;

use anyhow::Context;
use anyhow::Result;

/// Line before a written part.
const BEGIN_MARKER: &str = "<!-- written by skylark-bench pages: begin -->";

/// Line behind a written part.
const END_MARKER: &str = "<!-- written by skylark-bench pages: end -->";

/// Replaces the written part of a page.
pub(crate) fn replace_generated_section(page: &Path, text: &str) -> Result<()> {
    let old =
        fs::read_to_string(page).with_context(|| format!("{} cannot be read", page.display()))?;
    let (before, rest) = old
        .split_once(BEGIN_MARKER)
        .with_context(|| format!("{} has no line `{BEGIN_MARKER}`", page.display()))?;
    let (_, after) = rest
        .split_once(END_MARKER)
        .with_context(|| format!("{} has no line `{END_MARKER}`", page.display()))?;
    fs::write(
        page,
        format!("{before}{BEGIN_MARKER}\n{text}{END_MARKER}{after}"),
    )?;
    Ok(())
}
