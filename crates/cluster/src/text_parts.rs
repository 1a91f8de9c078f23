//! Division of JSON text into parts.

/// Splits a JSON text into parts of at most `max_bytes` each inside a JSON string, where quotes and backslashes take two bytes.
pub(crate) fn split_json_text(text: &str, max_bytes: usize) -> Vec<String> {
    let mut parts = Vec::new();
    let mut part = String::new();
    let mut bytes = 0;
    for character in text.chars() {
        let escaped = character.len_utf8() + usize::from(matches!(character, '"' | '\\'));
        if bytes + escaped > max_bytes {
            parts.push(std::mem::take(&mut part));
            bytes = 0;
        }
        part.push(character);
        bytes += escaped;
    }
    parts.push(part);
    parts
}
