//! Results of a load.

use std::fs::File;
use std::io;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;

use crate::LoadSummary;
use crate::Observation;

/// Results of all requests of a load.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// One observation for each attempt to send a request, ordered by the time of sending.
    pub observations: Vec<Observation>,
}

impl LoadReport {
    pub(crate) fn new(mut observations: Vec<Observation>) -> Self {
        observations.sort_by_key(|observation| observation.sent_us);
        Self { observations }
    }

    /// Returns counts and latencies of all requests.
    pub fn summary(&self) -> LoadSummary {
        LoadSummary::from_observations(self.observations.iter())
    }

    /// Returns counts and latencies of the requests of one workspace.
    pub fn workspace_summary(&self, workspace: &str) -> LoadSummary {
        let is_of_workspace =
            |observation: &&Observation| observation.workspace.as_deref() == Some(workspace);
        LoadSummary::from_observations(self.observations.iter().filter(is_of_workspace))
    }

    /// Writes all observations to a file, one line of JSON each.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the file cannot be written.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut file = BufWriter::new(File::create(path)?);
        for observation in &self.observations {
            serde_json::to_writer(&mut file, observation)?;
            file.write_all(b"\n")?;
        }
        file.flush()
    }
}
