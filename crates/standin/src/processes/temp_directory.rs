//! The files of a fleet.

use std::env;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::thread;

use uuid::Uuid;

/// A directory for temporary files, removed when this is dropped unless the thread panics.
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
            // What is left among temporary files harms nothing.
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}
