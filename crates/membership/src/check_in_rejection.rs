//! Reasons to reject a check-in.

use serde::Deserialize;
use serde::Serialize;

/// Reason why a check-in was rejected. A rejected check-in changes nothing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CheckInRejection {
    /// The former process of the upstream, which may still run at another address, may hold grants.
    FormerHoldsGrants,
    /// The check-in is from an earlier process of the upstream, or not newer than the last one.
    Outdated,
    /// No manifest declares the service that the check-in names.
    UndeclaredService,
}

impl CheckInRejection {
    /// Returns the name of the reason in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FormerHoldsGrants => "former-holds-grants",
            Self::Outdated => "outdated",
            Self::UndeclaredService => "undeclared-service",
        }
    }
}
