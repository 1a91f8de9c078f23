//! A state that operators change.

use ids::Offset;
use serde::Deserialize;
use serde::Serialize;

/// Whether something is taken out of service, and since which record.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Availability {
    pub(crate) out: bool,
    /// Greatest position of a declaration that set the state.
    #[serde(default)]
    pub(crate) position: Offset,
    pub(crate) version: Offset,
}

impl Availability {
    /// Sets the state if `base` is the present version.
    pub(crate) fn set(&mut self, offset: Offset, base: Offset, out: bool) -> Result<(), String> {
        check_base_version(base, self.version)?;
        self.out = out;
        self.version = offset;
        Ok(())
    }

    /// Sets the state as it was declared up to `position`, unless a later declaration set it.
    pub(crate) fn declare(
        &mut self,
        offset: Offset,
        base: Offset,
        out: bool,
        position: Offset,
    ) -> Result<(), String> {
        if position < self.position {
            return Err(format!(
                "read up to position {position}, but a declaration up to {} is in force: read on",
                self.position
            ));
        }
        self.set(offset, base, out)?;
        self.position = position;
        Ok(())
    }
}

/// Checks that a change was based on the version in force.
pub(crate) fn check_base_version(base: Offset, version: Offset) -> Result<(), String> {
    if base == version {
        return Ok(());
    }
    Err(format!(
        "based on version {base}, but version {version} is in force: read it and repeat the change"
    ))
}
