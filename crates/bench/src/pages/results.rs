//! Saved benchmark results.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use anyhow::Context;
use anyhow::Result;

use crate::report::Report;

/// Folder of the saved results, relative to the folder of the pages.
const RESULTS_FOLDER: &str = "results";

/// Latest saved result of each benchmark.
#[derive(Debug)]
pub(crate) struct Results {
    by_bench: BTreeMap<String, Report>,
}

impl Results {
    /// Reads all saved results.
    pub(crate) fn load(docs: &Path) -> Result<Self> {
        let folder = docs.join(RESULTS_FOLDER);
        let mut by_bench = BTreeMap::new();
        let entries = fs::read_dir(&folder).with_context(|| {
            format!(
                "failed to read the results in {}: run benchmarks with --save",
                folder.display()
            )
        })?;
        for entry in entries {
            let path = entry?.path();
            let text = fs::read_to_string(&path)?;
            let report: Report = serde_json::from_str(&text).with_context(|| {
                format!("failed to parse {} as a benchmark result", path.display())
            })?;
            by_bench.insert(report.bench.clone(), report);
        }
        Ok(Self { by_bench })
    }

    /// Saves a result, replacing the earlier one of the same benchmark.
    pub(crate) fn save(docs: &Path, report: &Report) -> Result<()> {
        let folder = docs.join(RESULTS_FOLDER);
        fs::create_dir_all(&folder)?;
        let text = serde_json::to_string_pretty(report)?;
        fs::write(folder.join(format!("{}.json", report.bench)), text + "\n")?;
        Ok(())
    }

    /// Returns all results, by benchmark name.
    pub(crate) fn all(&self) -> &BTreeMap<String, Report> {
        &self.by_bench
    }

    /// Returns the product's value of a figure.
    pub(crate) fn product_value(&self, bench: &str, name: &str) -> Result<f64> {
        let report = self.by_bench.get(bench);
        let report =
            report.with_context(|| format!("no result of `{bench}`: run it with --save"))?;
        let figure = report.figures.iter().find(|figure| figure.name == name);
        let figure = figure.with_context(|| format!("`{bench}` has no figure `{name}`"))?;
        Ok(figure.product)
    }
}
