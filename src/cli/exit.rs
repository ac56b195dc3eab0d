//! Exit codes of the programs.

/// Description of the exit codes, shown in the help text of each program.
pub(crate) const EXIT_CODES_HELP: &str = "Exit codes: 0 success; 1 failure; 2 invalid flag or \
file; 3 the data folder is unusable; 4 no state replica responds; 5 conflict with another change; \
6 refused; 7 accepted but not in force in time; 8 the outcome is unknown, retry with the same \
--change-id.";

/// Exit code of a program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// The program succeeded.
    Done,
    /// The program failed for a reason that has no code of its own.
    Failed,
    /// A flag or an input file is invalid.
    Usage,
    /// The data folder is unusable.
    Storage,
    /// No state replica responds.
    Unreachable,
    /// The change conflicts with an earlier one.
    Conflict,
    /// The state replicas refused the request.
    Refused,
    /// The change was accepted, but not applied by every entry in time.
    NotInForce,
    /// It is unknown whether the change was accepted; a retry with the same change id is safe.
    Unknown,
}

impl ExitCode {
    /// The numeric code, 0 to 8.
    pub fn code(self) -> i32 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Storage => 3,
            Self::Unreachable => 4,
            Self::Conflict => 5,
            Self::Refused => 6,
            Self::NotInForce => 7,
            Self::Unknown => 8,
        }
    }
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(u8::try_from(code.code()).unwrap_or(1))
    }
}

/// Converts a program's result into its exit code, `failed` for an error. The error is printed on
/// standard error.
pub fn report_result<E: std::fmt::Display>(
    program: &str,
    result: Result<(), E>,
    failed: ExitCode,
) -> std::process::ExitCode {
    match result {
        Ok(()) => ExitCode::Done.into(),
        Err(e) => {
            eprintln!("{program}: {e}");
            failed.into()
        }
    }
}
