//! Parser of documents whose errors name the path of the value.

use serde::de::DeserializeOwned;

use crate::DocumentError;

/// Parses a document.
pub(crate) fn parse<T: DeserializeOwned>(text: &str) -> Result<T, DocumentError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let document = serde_path_to_error::deserialize(&mut deserializer).map_err(shape_error)?;
    deserializer.end().map_err(|error| syntax_error(&error))?;
    Ok(document)
}

fn shape_error(error: serde_path_to_error::Error<serde_json::Error>) -> DocumentError {
    let path = match error.path().to_string().as_str() {
        "." => "document".to_owned(),
        path => path.to_owned(),
    };
    let error = error.into_inner();
    if !error.is_data() {
        return syntax_error(&error);
    }
    let problem = problem(&error);
    DocumentError::Shape {
        column: error.column(),
        line: error.line(),
        path,
        remedy: remedy(&problem).to_owned(),
        problem,
    }
}

fn syntax_error(error: &serde_json::Error) -> DocumentError {
    DocumentError::Syntax {
        column: error.column(),
        line: error.line(),
        problem: problem(error),
    }
}

/// Returns the message without the position, which `DocumentError` has in fields of its own.
fn problem(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let position = format!(" at line {} column {}", error.line(), error.column());
    text.trim_end_matches(&position).to_owned()
}

fn remedy(problem: &str) -> &'static str {
    if problem.starts_with("unknown field") {
        "remove the field or correct its name"
    } else if problem.starts_with("missing field") {
        "add the field"
    } else if problem.starts_with("duplicate") {
        "keep one of them"
    } else {
        "write a value of the type that is expected"
    }
}
