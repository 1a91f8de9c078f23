//! Availability of a zone or an upstream, as operators set it.

use ids::Offset;
use serde::Deserialize;
use serde::Serialize;

/// Whether a zone or an upstream is out of service, and which record set that.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Availability {
    pub(crate) out: bool,
    /// Greatest position of a declaration that set the state, or 0 for none.
    #[serde(default)]
    pub(crate) position: Offset,
    /// Offset of the record that last changed the state, or 0 for none.
    pub(crate) version: Offset,
}

impl Availability {
    /// Sets the state if `base` is the version in force.
    pub(crate) fn set(&mut self, offset: Offset, base: Offset, out: bool) -> Result<(), String> {
        check_base_version(base, self.version)?;
        self.out = out;
        self.version = offset;
        Ok(())
    }

    /// Sets the state as declared up to `position`, unless a later declaration is in force.
    pub(crate) fn declare(
        &mut self,
        offset: Offset,
        base: Offset,
        out: bool,
        position: Offset,
    ) -> Result<(), String> {
        if position < self.position {
            return Err(format!(
                "based on declarations up to position {position}, but one at position {} is in force: \
                 read the later declarations first",
                self.position
            ));
        }
        self.set(offset, base, out)?;
        self.position = position;
        Ok(())
    }
}

/// Checks that a change is based on the version in force.
pub(crate) fn check_base_version(base: Offset, version: Offset) -> Result<(), String> {
    if base == version {
        return Ok(());
    }
    Err(format!(
        "based on version {base}, but version {version} is in force: read it and repeat the change"
    ))
}
