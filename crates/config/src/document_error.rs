//! Error in a document.

use thiserror::Error;

/// Error in a document: where it is, what is wrong and how to correct it.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DocumentError {
    /// The text is JSON but does not have the structure of the document.
    #[error("{path}: {problem} (line {line}, column {column}): {remedy}")]
    Shape {
        /// Column of the problem, from 1.
        column: usize,
        /// Line of the problem, from 1.
        line: usize,
        /// Path of the value.
        path: String,
        /// What is wrong.
        problem: String,
        /// How to correct it.
        remedy: String,
    },
    /// The text is not JSON.
    #[error("line {line}, column {column}: {problem}: correct the JSON there")]
    Syntax {
        /// Column of the problem, from 1.
        column: usize,
        /// Line of the problem, from 1.
        line: usize,
        /// What is wrong.
        problem: String,
    },
    /// A value is not allowed.
    #[error("{path}: {problem}: {remedy}")]
    Value {
        /// Path of the value.
        path: String,
        /// What is wrong.
        problem: String,
        /// How to correct it.
        remedy: String,
    },
}

impl DocumentError {
    pub(crate) fn value(
        path: impl Into<String>,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self::Value {
            path: path.into(),
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }
}
