//! State of a dispatched request after a home's statement.

use crate::AdmittedRequest;
use crate::DispatchedRequest;

/// State of a dispatched request after a home has made a statement about it.
#[derive(Debug)]
pub enum Resolution {
    /// No home has run the request or can still run it: it may be dispatched again or refused.
    NotRun(AdmittedRequest),
    /// Some home has not stated an outcome yet, or the request may have run.
    Open(DispatchedRequest),
}
