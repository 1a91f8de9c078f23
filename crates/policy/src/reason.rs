//! Reason for a refusal.

use std::fmt::Display;
use std::fmt::Formatter;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

macro_rules! reasons {
    ($($(#[doc = $doc:literal])+ $variant:ident = $name:literal,)+) => {
        /// Machine-readable reason for a refusal.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
        pub enum Reason {
            $($(#[doc = $doc])+ #[serde(rename = $name)] $variant,)+
        }

        impl Reason {
            /// All reasons, ordered by name.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Returns the machine-readable name.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)+
                }
            }
        }
    };
}

reasons! {
    /// The answer exceeds the limit on buffered answers.
    AnswerTooLarge = "answer-too-large",
    /// A header is missing or cannot be parsed.
    BadHeader = "bad-header",
    /// The body exceeds the limit.
    BodyTooLarge = "body-too-large",
    /// The upstream answered with the id of another request.
    CrossedAnswer = "crossed-answer",
    /// The deadline has passed, or the caller no longer waits for the answer.
    DeadlinePassed = "deadline-passed",
    /// The headers exceed the limit.
    HeaderTooLarge = "header-too-large",
    /// The idempotency key was used with another request.
    IdempotencyConflict = "idempotency-conflict",
    /// It cannot be known whether the idempotency key has been used.
    IdempotencyUnknown = "idempotency-unknown",
    /// The tenant key has been withdrawn.
    KeyWithdrawn = "key-withdrawn",
    /// The lease of the home has lapsed.
    LeaseLapsed = "lease-lapsed",
    /// The unit of the key has no owner.
    NoOwner = "no-owner",
    /// The plan of the workspace does not grant the service.
    NotGranted = "not-granted",
    /// The home does not own the unit.
    NotOwner = "not-owner",
    /// A queue is full.
    Overloaded = "overloaded",
    /// The owner cannot be reached.
    OwnerUnreachable = "owner-unreachable",
    /// The request is quarantined because it has crashed upstreams.
    Quarantined = "quarantined",
    /// The rate of the workspace is exceeded.
    RateExceeded = "rate-exceeded",
    /// The upstream sheds load.
    Shed = "shed",
    /// The process is stopping.
    Stopping = "stopping",
    /// The request carries no known tenant key.
    Unauthenticated = "unauthenticated",
    /// The process has no configuration yet, or could not read the route that matches the request.
    Unconfigured = "unconfigured",
    /// The process cannot know which configuration is in force.
    Uninformed = "uninformed",
    /// No route matches the request.
    UnknownRoute = "unknown-route",
    /// The upstream crashed while the request ran.
    UpstreamCrashed = "upstream-crashed",
    /// The upstream did not answer.
    UpstreamSilent = "upstream-silent",
    /// The zone of the home is out of service.
    ZoneOut = "zone-out",
}

impl Reason {
    /// Reports whether the request, its caller or its workspace caused the refusal.
    ///
    /// Such a refusal says nothing about the upstream.
    pub fn is_caused_by_request(self) -> bool {
        match self {
            Self::AnswerTooLarge
            | Self::BadHeader
            | Self::BodyTooLarge
            | Self::DeadlinePassed
            | Self::HeaderTooLarge
            | Self::IdempotencyConflict
            | Self::IdempotencyUnknown
            | Self::KeyWithdrawn
            | Self::NotGranted
            | Self::Quarantined
            | Self::RateExceeded
            | Self::Unauthenticated
            | Self::UnknownRoute => true,
            Self::CrossedAnswer
            | Self::LeaseLapsed
            | Self::NoOwner
            | Self::NotOwner
            | Self::Overloaded
            | Self::OwnerUnreachable
            | Self::Shed
            | Self::Stopping
            | Self::Unconfigured
            | Self::Uninformed
            | Self::UpstreamCrashed
            | Self::UpstreamSilent
            | Self::ZoneOut => false,
        }
    }
}

impl Display for Reason {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Error returned for text that is not the name of a reason.
#[derive(Debug, Error, Eq, PartialEq)]
#[error("unknown refusal reason `{0}`: upgrade the older of the two processes")]
pub struct ParseReasonError(String);

impl FromStr for Reason {
    type Err = ParseReasonError;

    fn from_str(text: &str) -> Result<Self, ParseReasonError> {
        Self::ALL
            .iter()
            .copied()
            .find(|reason| reason.as_str() == text)
            .ok_or_else(|| ParseReasonError(text.to_owned()))
    }
}
