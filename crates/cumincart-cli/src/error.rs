//! The errors of the commands.

use {
    crate::exit,
    cumincart_config::ConfigError,
    cumincart_fleet::FleetError,
    miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme, JSONReportHandler},
    std::io::IsTerminal,
};

/// An error of a command. The codes are stable; the wording may change.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum CliError {
    /// A list or settings file is invalid or cannot be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Config(#[from] ConfigError),

    /// The demo's fleet failed to start or to run.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Fleet(#[from] FleetError),

    /// The signal handler could not be installed.
    #[error("failed to install the signal handler: {0}")]
    #[diagnostic(
        code(cumincart::cli::signal),
        help("the operating system refused the signal handler; run the command again")
    )]
    Signal(#[source] std::io::Error),

    /// The operator token file cannot be used.
    #[error("the operator token file {path} cannot be used: {reason}")]
    #[diagnostic(code(cumincart::cli::token_file), help("pass a file that contains the token on one line"))]
    TokenFile {
        /// The file.
        path: String,
        /// The reason.
        reason: String,
    },

    /// A log file cannot be read.
    #[error("the log file {path} cannot be read: {reason}")]
    #[diagnostic(
        code(cumincart::cli::log_file),
        help("pass files that contain the processes' standard output")
    )]
    LogFile {
        /// The file.
        path: String,
        /// The reason.
        reason: String,
    },

    /// The instance refused the operator token.
    #[error("{url} refused the operator token")]
    #[diagnostic(
        code(cumincart::cli::token_refused),
        help("use the token from the control instances' `operator_token_file`")
    )]
    TokenRefused {
        /// The instance.
        url: String,
    },

    /// No control instance could serve the request.
    #[error("no control instance could serve the request\n{}", attempts_text(attempts))]
    #[diagnostic(
        code(cumincart::cli::unreachable),
        help(
            "nothing was changed: check the `--control` addresses, and that a majority of the control instances is running and connected"
        )
    )]
    Unreachable {
        /// The last attempt on each control instance.
        attempts: Vec<Attempt>,
    },

    /// No response to a change was received, and it may have been committed.
    #[error(
        "the change `{change_id}` may have been committed, but no response was received\n{}",
        attempts_text(attempts)
    )]
    #[diagnostic(
        code(cumincart::cli::unknown),
        help(
            "run the same command again with `--change-id {change_id}`: the change is applied at most once"
        )
    )]
    OutcomeUnknown {
        /// The change.
        change_id: String,
        /// The last attempt on each control instance.
        attempts: Vec<Attempt>,
    },

    /// An instance sent a response that could not be parsed, or refused the request as malformed.
    #[error("{url} sent an unexpected response: {reason}")]
    #[diagnostic(
        code(cumincart::cli::bad_answer),
        help("check that the address belongs to a control instance of the same version as this command")
    )]
    UnexpectedResponse {
        /// The instance.
        url: String,
        /// The reason.
        reason: String,
    },

    /// The system has no failure domain or instance of this name.
    #[error("there is no {kind} `{name}`")]
    #[diagnostic(
        code(cumincart::cli::unknown_name),
        help("{help}, or add `--force` if it does not exist yet")
    )]
    UnknownName {
        /// What the name was expected to refer to, such as an instance.
        kind: &'static str,
        /// The name.
        name: String,
        /// A suggestion, such as a similar name.
        help: String,
    },
}

/// A failed attempt to send a request to an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// The base URL of the instance.
    pub url: String,
    /// Why the attempt failed.
    pub reason: String,
}

fn attempts_text(attempts: &[Attempt]) -> String {
    let lines: Vec<String> =
        attempts.iter().map(|attempt| format!("{}: {}", attempt.url, attempt.reason)).collect();
    lines.join("\n")
}

impl CliError {
    /// Returns the exit code of this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Config(ConfigError::Invalid { .. }) => exit::INVALID,
            Self::Config(ConfigError::Unreadable { .. })
            | Self::Fleet(_)
            | Self::Signal(_)
            | Self::TokenFile { .. }
            | Self::LogFile { .. }
            | Self::UnexpectedResponse { .. }
            | Self::UnknownName { .. } => exit::FAILED,
            Self::TokenRefused { .. } => exit::TOKEN_REFUSED,
            Self::Unreachable { .. } => exit::UNREACHABLE,
            Self::OutcomeUnknown { .. } => exit::OUTCOME_UNKNOWN,
        }
    }
}

/// Renders the error for standard error: as one JSON object if `as_json` is set, otherwise as text with Unicode
/// graphics, and with colours if standard error is a terminal.
pub fn render_error(error: &CliError, as_json: bool) -> String {
    let mut text = String::new();
    let written = if as_json {
        JSONReportHandler::new().render_report(&mut text, error)
    } else {
        graphical().render_report(&mut text, error)
    };
    match written {
        Ok(()) if text.ends_with('\n') => text,
        Ok(()) => text + "\n",
        Err(_) => format!("{error}\n"),
    }
}

fn graphical() -> GraphicalReportHandler {
    let theme = if std::io::stderr().is_terminal() {
        GraphicalTheme::unicode()
    } else {
        GraphicalTheme::unicode_nocolor()
    };
    GraphicalReportHandler::new_themed(theme).with_links(false)
}
