//! State of a dispatched request after a home's statement.

use crate::AdmittedRequest;
use crate::DispatchedRequest;

/// What a statement of a home makes of a request.
#[derive(Debug)]
pub enum Resolution {
    /// No home has run the request or can still run it: it may be dispatched again or refused.
    NotRun(AdmittedRequest),
    /// Homes are open, or the request may have run.
    Open(DispatchedRequest),
}
