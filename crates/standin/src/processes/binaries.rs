//! The programs of a fleet.

use std::env;
use std::path::Path;
use std::path::PathBuf;

use crate::FleetError;

/// Paths of the programs.
#[derive(Clone, Debug)]
pub(crate) struct Binaries {
    pub(crate) daemon: PathBuf,
    pub(crate) log: PathBuf,
    pub(crate) upstream: PathBuf,
}

impl Binaries {
    /// Finds the programs in the build directory of the running test or program.
    pub(crate) fn find() -> Result<Self, FleetError> {
        let own = env::current_exe()
            .map_err(|error| FleetError::System("find the running program", error))?;
        let directory = build_directory(&own);
        Ok(Self {
            daemon: require_file(directory.join("skylarkrudder"))?,
            log: require_file(directory.join("standin-log"))?,
            upstream: require_file(directory.join("standin-upstream"))?,
        })
    }
}

/// Returns `target/debug` or `target/release`, of which tests run in the subdirectory `deps`.
fn build_directory(own: &Path) -> PathBuf {
    let directory = own.parent().unwrap_or(own);
    if directory.ends_with("deps") || directory.ends_with("examples") {
        return directory.parent().unwrap_or(directory).to_owned();
    }
    directory.to_owned()
}

fn require_file(path: PathBuf) -> Result<PathBuf, FleetError> {
    if path.is_file() {
        return Ok(path);
    }
    Err(FleetError::MissingBinary(path))
}
