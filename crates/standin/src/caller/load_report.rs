//! What became of a load.

use std::fs::File;
use std::io;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;

use crate::LoadSummary;
use crate::Observation;

/// What became of every request of a load.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// One for every time that a request was sent, in the order of the times.
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
        let own = |observation: &&Observation| observation.workspace.as_deref() == Some(workspace);
        LoadSummary::from_observations(self.observations.iter().filter(own))
    }

    /// Writes every observation as a line of JSON.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the file cannot be written.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut file = BufWriter::new(File::create(path)?);
        for observation in &self.observations {
            serde_json::to_writer(&mut file, observation)?;
            file.write_all(b"\n")?;
        }
        file.flush()
    }
}
