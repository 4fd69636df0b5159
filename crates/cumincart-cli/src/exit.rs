//! The exit codes of the operators' command. They are stable; scripts may rely on them.

/// All went well.
pub const SUCCESS: u8 = 0;

/// Something failed that no other code names, such as reading a file.
pub const FAILED: u8 = 1;

/// The arguments are wrong.
pub const USAGE: u8 = 2;

/// A list or a settings file is wrong; nothing was applied.
pub const INVALID: u8 = 3;

/// The lists had changed since the base of the edit; nothing was applied.
pub const CONFLICT: u8 = 4;

/// No control instance could serve the request; nothing was changed.
pub const UNREACHABLE: u8 = 5;

/// The change may have been committed: send it again under the same change id.
pub const OUTCOME_UNKNOWN: u8 = 6;

/// The change was committed, but is not yet known to be in force everywhere.
pub const NOT_IN_FORCE: u8 = 7;

/// The operator token was refused.
pub const TOKEN_REFUSED: u8 = 8;

/// `diff --exit-code` found differences.
pub const DIFFERENCES_FOUND: u8 = 9;
