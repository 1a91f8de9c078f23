//! Output of a command.

/// Output and exit code of a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Output {
    /// 0 if done, 1 if refused or failed, 2 for wrong usage or an invalid document, 3 if the outcome is unknown.
    pub exit_code: u8,
    /// Text for the standard error stream.
    pub stderr: String,
    /// Text for the standard output stream.
    pub stdout: String,
}
