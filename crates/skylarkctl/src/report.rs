//! Results of commands.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;

use cluster::Document;
use cluster::QuarantineEntry;
use ids::Offset;
use serde::Serialize;
use serde_json::Value;

use crate::explain::RequestTrace;
use crate::rollouts_text::rollouts_text;
use crate::status_text::status_text;

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub(crate) enum Report {
    /// Path of a request, reconstructed from log files.
    #[serde(rename = "account")]
    RequestTrace {
        /// The decisions about the request, and the cause of its outcome.
        #[serde(rename = "account")]
        trace: RequestTrace,
    },
    /// A record took effect.
    Done {
        /// Description of the change.
        what: String,
        /// Offset of the record.
        version: Offset,
    },
    /// Answer of a process.
    Answer {
        /// The answer.
        answer: Value,
    },
    /// A document in force.
    Document {
        /// The document.
        document: Document,
        /// Offset of its publication.
        version: Offset,
    },
    /// A tenant key was issued.
    Key {
        /// Hash of the key.
        hash: String,
        /// The key itself, which is printed only here and stored nowhere.
        key: String,
        /// Offset of the record.
        version: Offset,
    },
    /// Requests in quarantine.
    Quarantine {
        /// Entries by fingerprint.
        entries: BTreeMap<String, QuarantineEntry>,
    },
    /// Roll-outs of versions.
    Rollouts {
        /// The part of the answer of a process that concerns them.
        rollouts: Value,
    },
    /// State of a fleet.
    Status {
        /// The answer of a process.
        status: Value,
    },
    /// Text that is printed verbatim.
    Text {
        /// The text.
        text: String,
    },
    /// The requested state was already in force.
    Unchanged {
        /// The requested state.
        what: String,
    },
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Done { what, version } => writeln!(f, "{what}: in force as version {version}"),
            Self::RequestTrace { trace } => write!(f, "{trace}"),
            Self::Answer { answer } => writeln!(f, "{answer:#}"),
            Self::Document { document, version } => {
                let text = match document {
                    Document::Manifest(manifest) => serde_json::to_string_pretty(manifest),
                    Document::Plans(plans) => serde_json::to_string_pretty(plans),
                    Document::Workspaces(workspaces) => serde_json::to_string_pretty(workspaces),
                };
                let text = text.map_err(|_| std::fmt::Error)?;
                writeln!(f, "{text}")?;
                writeln!(f, "version {version}")
            }
            Self::Key { hash, key, version } => {
                writeln!(f, "key:  {key}")?;
                writeln!(f, "hash: {hash}")?;
                writeln!(
                    f,
                    "in force as version {version}. The key is not shown again."
                )
            }
            Self::Quarantine { entries } => {
                for (fingerprint, entry) in entries {
                    writeln!(f, "{fingerprint} {}", quarantine_text(entry))?;
                }
                writeln!(f, "{} in quarantine", entries.len())
            }
            Self::Rollouts { rollouts } => f.write_str(&rollouts_text(rollouts)),
            Self::Status { status } => f.write_str(&status_text(status)),
            Self::Text { text } => f.write_str(text),
            Self::Unchanged { what } => writeln!(f, "{what}: already so, nothing was written"),
        }
    }
}

fn quarantine_text(entry: &QuarantineEntry) -> String {
    format!(
        "workspace {} crashed {} upstream(s){} until {} ms since 1970",
        entry.workspace,
        entry.upstream_instances.len(),
        if entry.alone { ", once alone," } else { "" },
        entry.expires_unix_ms
    )
}
