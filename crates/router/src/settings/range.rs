//! Range checks of numeric settings.

use crate::settings::SettingsError;

pub(crate) fn check_range(
    field: &'static str,
    value: u64,
    lowest: u64,
    highest: u64,
) -> Result<(), SettingsError> {
    if (lowest..=highest).contains(&value) {
        return Ok(());
    }
    Err(SettingsError::Invalid {
        field,
        value: value.to_string(),
        remedy: format!("set it between {lowest} and {highest}"),
    })
}
