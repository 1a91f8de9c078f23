//! Paths of the executables of a fleet.

use std::env;
use std::path::Path;
use std::path::PathBuf;

use crate::FleetError;

/// Paths of the executables that a fleet runs.
#[derive(Clone, Debug)]
pub(crate) struct Binaries {
    pub(crate) daemon: PathBuf,
    pub(crate) log: PathBuf,
    pub(crate) upstream: PathBuf,
}

impl Binaries {
    /// Finds the executables in the build directory of the running test or program.
    pub(crate) fn find() -> Result<Self, FleetError> {
        let executable = env::current_exe()
            .map_err(|error| FleetError::System("find the path of the running program", error))?;
        let directory = build_directory(&executable);
        Ok(Self {
            daemon: require_file(directory.join("skylarkrudder"))?,
            log: require_file(directory.join("standin-log"))?,
            upstream: require_file(directory.join("standin-upstream"))?,
        })
    }
}

/// Returns the build directory, such as `target/debug`, of an executable.
///
/// Tests run in its subdirectory `deps`, and examples in `examples`.
fn build_directory(executable: &Path) -> PathBuf {
    let directory = executable.parent().unwrap_or(executable);
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
