//! A small JSON reader for check-ins' answers and the like.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(table) => table.get(name),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }
}

pub fn parse(bytes: &[u8]) -> Option<Json> {
    let mut at = 0;
    value(bytes, &mut at)
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip(bytes, at);
                if bytes.get(*at)? == &b'}' {
                    *at += 1;
                    return Some(Json::Table(table));
                }
                let Json::Text(name) = value(bytes, at)? else {
                    return None;
                };
                skip(bytes, at);
                *at += 1;
                table.insert(name, value(bytes, at)?);
                skip(bytes, at);
                if bytes.get(*at)? == &b',' {
                    *at += 1;
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(bytes, at);
                if bytes.get(*at)? == &b']' {
                    *at += 1;
                    return Some(Json::List(list));
                }
                list.push(value(bytes, at)?);
                skip(bytes, at);
                if bytes.get(*at)? == &b',' {
                    *at += 1;
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            while bytes.get(*at)? != &b'"' {
                if bytes[*at] == b'\\' {
                    *at += 1;
                }
                text.push(*bytes.get(*at)?);
                *at += 1;
            }
            *at += 1;
            Some(Json::Text(String::from_utf8_lossy(&text).into_owned()))
        }
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => {
            let start = *at;
            while bytes
                .get(*at)
                .is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b))
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

fn word(bytes: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    if !bytes[*at..].starts_with(word.as_bytes()) {
        return None;
    }
    *at += word.len();
    Some(value)
}
