//! Temporary directory for the files of a fleet.

use std::env;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::thread;

use uuid::Uuid;

/// A temporary directory that is removed on drop, unless the thread panics, so that a failed test keeps its files.
#[derive(Debug)]
pub(crate) struct TempDirectory {
    path: PathBuf,
}

impl TempDirectory {
    pub(crate) fn create() -> io::Result<Self> {
        let path = env::temp_dir().join(format!("skylarkrudder-{}", Uuid::new_v4()));
        fs::create_dir_all(&path)?;
        Ok(Self { path })
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        if !thread::panicking() {
            // A temporary directory that cannot be removed does no harm.
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}
