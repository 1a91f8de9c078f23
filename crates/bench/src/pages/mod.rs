//! Documentation pages and plots that are generated from saved results.

mod capacity;
mod capacity_row;
mod generated_section;
mod measured_costs;
mod measures;
mod plots;
mod results;

use std::path::Path;

use anyhow::Result;

use crate::report::Report;
use results::Results;

/// Folder of the documentation pages, relative to the root of the repository.
const DOCS_FOLDER: &str = "docs";

/// Saves the result of a benchmark.
pub(crate) fn save(report: &Report) -> Result<()> {
    Results::save(Path::new(DOCS_FOLDER), report)
}

/// Generates the pages and plots from the saved results.
pub(crate) fn write() -> Result<()> {
    let docs = Path::new(DOCS_FOLDER);
    let results = Results::load(docs)?;
    measures::write(docs, &results)?;
    capacity::write(docs, &results)?;
    plots::write(docs, &results)
}
