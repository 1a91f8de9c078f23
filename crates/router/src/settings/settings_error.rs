//! Errors in settings.

use std::path::PathBuf;

use thiserror::Error;

/// An error in the settings. Each message names the field, its value and the remedy.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// Two fields have the same address.
    #[error(
        "settings field `{field}` is `{value}`, which `{other}` uses too: give each its own port"
    )]
    DuplicateAddress {
        /// The field.
        field: &'static str,
        /// The other field with the same address.
        other: &'static str,
        /// The address.
        value: String,
    },
    /// A field has a value that is not allowed.
    #[error("settings field `{field}` is `{value}`: {remedy}")]
    Invalid {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
        /// The remedy.
        remedy: String,
    },
    /// The file is not JSON of the expected shape.
    #[error("settings file `{}`, at `{field}`: {error}: correct this field", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Path of the field.
        field: String,
        /// The parse error, with line and column.
        error: serde_json::Error,
    },
    /// The file with the peer secret cannot be used.
    #[error("settings field `peer_secret_file` is `{}`: {reason}: make it a readable file of at least 32 random bytes", path.display())]
    PeerSecret {
        /// The file.
        path: PathBuf,
        /// Why the file cannot be used.
        reason: String,
    },
    /// The file cannot be read.
    #[error("settings file `{}` cannot be read: {error}: check its path and permissions", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Error returned by the operating system.
        error: std::io::Error,
    },
}
