//! Exit codes.

/// What the help of each program says about exit codes.
pub(crate) const HELP: &str = "Exit codes: 0 done; 1 failed; 2 a flag or a file is wrong; \
3 the data folder can't be used; 4 no state replica answers; 5 conflict with another change; \
6 refused; 7 accepted but not in force in time; 8 the outcome is unknown, send it again with the \
same --change-id.";

/// How a program ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// Done.
    Done,
    /// Failed for another reason than those below.
    Failed,
    /// A flag or a file is wrong.
    Usage,
    /// The data folder can't be used.
    Storage,
    /// No state replica answers.
    Unreachable,
    /// Another change won.
    Conflict,
    /// Refused.
    Refused,
    /// Accepted, but not in force in time.
    NotInForce,
    /// The outcome is unknown.
    Unknown,
}

impl ExitCode {
    /// The number that the operating system sees.
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

/// How a program ends whose work ended so; a failure is said on standard error.
pub fn report<E: std::fmt::Display>(
    program: &str,
    ended: Result<(), E>,
    failed: ExitCode,
) -> std::process::ExitCode {
    match ended {
        Ok(()) => ExitCode::Done.into(),
        Err(e) => {
            eprintln!("{program}: {e}");
            failed.into()
        }
    }
}
