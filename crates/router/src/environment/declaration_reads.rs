//! Control of the reads of operator declarations.

/// The reads of operator declarations that an environment performs, as far as the router controls them.
pub trait DeclarationReads: Send + Sync {
    /// Reads where the declarations end, beside the read that waits for changes, and reports it with
    /// [`crate::DeclarationSink::report_end`]. Has no effect while no read waits. Does not block.
    fn check(&self);

    /// Ends the read that waits for changes, because it may be lost, so that it is repeated.
    fn repeat(&self);
}
