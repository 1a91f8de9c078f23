//! Commands that show and publish documents.

use std::path::Path;

use cluster::Body;
use cluster::Document;
use config::DocumentError;
use config::Plans;
use config::Workspaces;
use ids::Offset;

use crate::command::DocumentKind;
use crate::confirmed_append::ConfirmedAppend;
use crate::failure::Failure;
use crate::folded_log::FoldedLog;
use crate::options::Options;
use crate::report::Report;

/// Returns the document in force.
pub(crate) fn show(folded: &FoldedLog<'_>, kind: DocumentKind) -> Report {
    Report::Document {
        document: document_in_force(folded, kind),
        version: version_in_force(folded, kind),
    }
}

/// Replaces a document, unless another writer replaced it first.
pub(crate) fn publish(
    folded: &mut FoldedLog<'_>,
    kind: DocumentKind,
    file: &Path,
    base: Option<Offset>,
    options: &Options,
) -> Result<Report, Failure> {
    let text = read_file(file)?;
    let document = parse(&text, kind, folded).map_err(|error| Failure::InvalidDocument {
        error,
        file: file.to_owned(),
    })?;
    let current = version_in_force(folded, kind);
    if current > 0 && document == document_in_force(folded, kind) {
        let what = format!("{} in version {current}", kind.name());
        return Ok(Report::Unchanged { what });
    }
    let base = match base {
        Some(base) => base,
        None if current == 0 => 0,
        None => {
            let document = kind.name();
            return Err(Failure::MissingBase { current, document });
        }
    };
    if base != current {
        return Err(conflict(folded, kind, base));
    }
    let body = Body::Publish { base, document };
    let appended = ConfirmedAppend::new(folded, body, &options.writer, options.timeout).run();
    match appended {
        Ok(version) => Ok(Report::Done {
            what: format!("{}, based on version {base}", kind.name()),
            version,
        }),
        Err(Failure::Refused(_)) if version_in_force(folded, kind) != base => {
            Err(conflict(folded, kind, base))
        }
        Err(failure) => Err(failure),
    }
}

/// Checks a document as far as that is possible without the log.
pub(crate) fn check_file(file: &Path, kind: DocumentKind) -> Result<(), Failure> {
    let text = read_file(file)?;
    if kind == DocumentKind::Plans {
        Plans::parse(&text).map_err(|error| Failure::InvalidDocument {
            error,
            file: file.to_owned(),
        })?;
    }
    Ok(())
}

fn read_file(file: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(file).map_err(|error| Failure::UnreadableFile {
        error,
        file: file.to_owned(),
    })
}

fn parse(
    text: &str,
    kind: DocumentKind,
    folded: &FoldedLog<'_>,
) -> Result<Document, DocumentError> {
    match kind {
        DocumentKind::Plans => {
            let plans = Plans::parse(text)?;
            folded.fleet.workspaces().check(&plans)?;
            Ok(Document::Plans(plans))
        }
        DocumentKind::Workspaces => {
            Workspaces::parse(text, folded.fleet.plans()).map(Document::Workspaces)
        }
    }
}

fn document_in_force(folded: &FoldedLog<'_>, kind: DocumentKind) -> Document {
    match kind {
        DocumentKind::Plans => Document::Plans(folded.fleet.plans().clone()),
        DocumentKind::Workspaces => Document::Workspaces(folded.fleet.workspaces().clone()),
    }
}

fn version_in_force(folded: &FoldedLog<'_>, kind: DocumentKind) -> Offset {
    match kind {
        DocumentKind::Plans => folded.fleet.plans_version(),
        DocumentKind::Workspaces => folded.fleet.workspaces_version(),
    }
}

fn conflict(folded: &FoldedLog<'_>, kind: DocumentKind, base: Offset) -> Failure {
    let winner = version_in_force(folded, kind);
    Failure::Conflict {
        base,
        document: kind.name(),
        winner,
        writer: folded.writer_of(winner),
    }
}
