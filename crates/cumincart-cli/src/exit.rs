//! The exit codes of the `cumincart` command. They are stable, so that scripts can rely on them.

/// The command succeeded.
pub const SUCCESS: u8 = 0;

/// An error without an exit code of its own, such as a file that cannot be read.
pub const FAILED: u8 = 1;

/// The arguments are invalid.
pub const USAGE: u8 = 2;

/// A list or a settings file is invalid. Nothing was applied.
pub const INVALID: u8 = 3;

/// The lists in force are no longer at the base revision of the edit. Nothing was applied.
pub const CONFLICT: u8 = 4;

/// No control instance could serve the request. Nothing was changed.
pub const UNREACHABLE: u8 = 5;

/// The change may have been committed. Resend it under the same change id to learn its outcome.
pub const OUTCOME_UNKNOWN: u8 = 6;

/// The change was committed, but is not known to be in force everywhere yet.
pub const NOT_IN_FORCE: u8 = 7;

/// The operator token was refused.
pub const TOKEN_REFUSED: u8 = 8;

/// `diff --exit-code` found differences.
pub const DIFFERENCES_FOUND: u8 = 9;
