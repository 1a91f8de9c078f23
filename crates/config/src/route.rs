//! Route of a service.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::DocumentError;

/// Longest prefix of a route, in bytes.
pub const MAX_PREFIX_BYTES: usize = 1_024;

/// Settings for the requests to a service with the same methods and path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Whether a request may run more than once with the same effect as once.
    pub idempotent: bool,
    /// HTTP methods that the route accepts.
    #[serde(deserialize_with = "crate::unique::set")]
    pub methods: BTreeSet<String>,
    /// Whether the route is open to callers without a tenant key.
    #[serde(default)]
    pub open: bool,
    /// Prefix of the paths that the route matches, after the name of the service.
    pub prefix: String,
    /// Whether requests upload large bodies. An upload runs at most once.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub upload: bool,
}

/// Rejects an upload that may run more than once.
pub(crate) fn check_upload(
    path: &str,
    upload: bool,
    idempotent: bool,
) -> Result<(), DocumentError> {
    if upload && idempotent {
        return Err(DocumentError::value(
            path,
            "an upload runs at most once, but the route is idempotent",
            "set `idempotent` or `upload` to false",
        ));
    }
    Ok(())
}

impl Route {
    pub(crate) fn matches(&self, method: &str, path: &str) -> bool {
        self.methods.contains(method) && path.starts_with(&self.prefix)
    }

    /// Reports whether two routes accept no method in common.
    pub(crate) fn is_disjoint(&self, other: &Self) -> bool {
        self.methods.is_disjoint(&other.methods)
    }

    pub(crate) fn check(&self, path: &str) -> Result<(), DocumentError> {
        self.check_prefix(&format!("{path}.prefix"))?;
        self.check_methods(&format!("{path}.methods"))?;
        check_upload(&format!("{path}.upload"), self.upload, self.idempotent)
    }

    fn check_prefix(&self, path: &str) -> Result<(), DocumentError> {
        let is_forbidden = |letter: char| !letter.is_ascii_graphic() || matches!(letter, '?' | '#');
        let (problem, remedy) = if !self.prefix.starts_with('/') {
            ("does not begin with `/`", "begin it with `/`")
        } else if self.prefix.len() > MAX_PREFIX_BYTES {
            ("is longer than 1,024 bytes", "shorten it")
        } else if self.prefix.contains(is_forbidden) {
            (
                "contains a character that is not allowed in a path",
                "use printable ASCII without spaces, `?` and `#`",
            )
        } else {
            return Ok(());
        };
        Err(DocumentError::value(
            path,
            format!("the prefix {:?} {problem}", self.prefix),
            remedy,
        ))
    }

    fn check_methods(&self, path: &str) -> Result<(), DocumentError> {
        if self.methods.is_empty() {
            return Err(DocumentError::value(
                path,
                "the list is empty",
                "name at least one method, such as `GET`",
            ));
        }
        let is_method =
            |name: &str| !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_uppercase());
        match self.methods.iter().find(|name| !is_method(name)) {
            None => Ok(()),
            Some(name) => Err(DocumentError::value(
                path,
                format!("{name:?} is not a method"),
                "write it in capital letters, such as `GET`",
            )),
        }
    }
}
