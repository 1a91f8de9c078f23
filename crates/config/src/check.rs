//! Checks shared by several documents.

use std::ops::RangeInclusive;

use crate::DocumentError;

/// Longest name of a plan, service or workspace, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Checks the name of a plan, service or workspace.
pub(crate) fn check_name(path: &str, name: &str) -> Result<(), DocumentError> {
    if name.is_empty() {
        return Err(DocumentError::value(
            path,
            "the name is empty",
            "give it a name",
        ));
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(DocumentError::value(
            path,
            format!("the name has {} bytes", name.len()),
            format!("choose a name of at most {MAX_NAME_BYTES}"),
        ));
    }
    if name.starts_with(|letter: char| !letter.is_ascii_alphanumeric()) {
        return Err(DocumentError::value(
            path,
            "the name does not begin with a letter or digit",
            "begin it with a letter a to z or A to Z, or a digit",
        ));
    }
    match name.chars().find(|letter| !is_name_character(*letter)) {
        None => Ok(()),
        Some(letter) => Err(DocumentError::value(
            path,
            format!("the name contains {letter:?}"),
            "use letters a to z and A to Z, digits, `-`, `_` and `.`",
        )),
    }
}

fn is_name_character(letter: char) -> bool {
    letter.is_ascii_alphanumeric() || matches!(letter, '-' | '_' | '.')
}

/// Checks that a number lies in a range.
pub(crate) fn check_range(
    path: String,
    value: u32,
    range: RangeInclusive<u32>,
) -> Result<(), DocumentError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(DocumentError::value(
        path,
        format!("{value} is out of range"),
        format!("choose a value from {} to {}", range.start(), range.end()),
    ))
}
