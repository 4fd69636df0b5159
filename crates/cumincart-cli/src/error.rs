//! Why a command failed.

use {
    crate::exit,
    cumincart_config::ConfigError,
    cumincart_fleet::FleetError,
    miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme, JSONReportHandler},
    std::io::IsTerminal,
};

/// Why a command failed. The codes are stable; the wording is not.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum CliError {
    /// A list or a settings file is wrong.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Config(#[from] ConfigError),

    /// The demo's fleet could not start or go on.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Fleet(#[from] FleetError),

    /// Signals can't be received.
    #[error("signals can't be received: {0}")]
    #[diagnostic(code(cumincart::cli::signal), help("the operating system refused; run the command again"))]
    Signal(#[source] std::io::Error),

    /// The file with the operator token can't be used.
    #[error("the operator token file {path} can't be used: {reason}")]
    #[diagnostic(code(cumincart::cli::token_file), help("name a file that holds the token on one line"))]
    TokenFile {
        /// The file.
        path: String,
        /// Why.
        reason: String,
    },

    /// A log can't be read.
    #[error("the log {path} can't be read: {reason}")]
    #[diagnostic(code(cumincart::cli::log_file), help("name files with the processes' standard output"))]
    LogFile {
        /// The file.
        path: String,
        /// Why.
        reason: String,
    },

    /// The control instance refused the token.
    #[error("{url} refused the operator token")]
    #[diagnostic(
        code(cumincart::cli::token_refused),
        help("use the token of the control instances' `operator_token_file`")
    )]
    TokenRefused {
        /// The control instance.
        url: String,
    },

    /// No control instance could serve the request.
    #[error("no control instance could serve the request\n{}", attempts_text(attempts))]
    #[diagnostic(
        code(cumincart::cli::unreachable),
        help(
            "nothing was changed: check the addresses after `--control`, and that most control instances run and reach each other"
        )
    )]
    Unreachable {
        /// What became of the last attempt at each control instance.
        attempts: Vec<Attempt>,
    },

    /// A change may have been committed.
    #[error(
        "the change `{change_id}` may have been committed, but no answer came\n{}",
        attempts_text(attempts)
    )]
    #[diagnostic(
        code(cumincart::cli::unknown),
        help("run the same command again with `--change-id {change_id}`: it takes effect once at most")
    )]
    OutcomeUnknown {
        /// The change.
        change_id: String,
        /// What became of the last attempt at each control instance.
        attempts: Vec<Attempt>,
    },

    /// An instance's answer can't be understood, or says that the request was.
    #[error("{url} gave an answer that can't be used: {reason}")]
    #[diagnostic(
        code(cumincart::cli::bad_answer),
        help("check that the address is a control instance's and that both have the same version")
    )]
    BadAnswer {
        /// The instance.
        url: String,
        /// Why.
        reason: String,
    },

    /// Nothing in the system has this name.
    #[error("there is no {kind} `{name}`")]
    #[diagnostic(code(cumincart::cli::unknown_name), help("{help}, or add `--force` if it is still to come"))]
    UnknownName {
        /// The kind of thing.
        kind: &'static str,
        /// The name.
        name: String,
        /// What to do.
        help: String,
    },
}

/// An attempt that gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// The control instance.
    pub url: String,
    /// What happened.
    pub reason: String,
}

fn attempts_text(attempts: &[Attempt]) -> String {
    let lines: Vec<String> =
        attempts.iter().map(|attempt| format!("{}: {}", attempt.url, attempt.reason)).collect();
    lines.join("\n")
}

impl CliError {
    /// The exit code that tells this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Config(ConfigError::Invalid { .. }) => exit::INVALID,
            Self::Config(ConfigError::Unreadable { .. })
            | Self::Fleet(_)
            | Self::Signal(_)
            | Self::TokenFile { .. }
            | Self::LogFile { .. }
            | Self::BadAnswer { .. }
            | Self::UnknownName { .. } => exit::FAILED,
            Self::TokenRefused { .. } => exit::TOKEN_REFUSED,
            Self::Unreachable { .. } => exit::UNREACHABLE,
            Self::OutcomeUnknown { .. } => exit::OUTCOME_UNKNOWN,
        }
    }
}

/// The error as text for standard error: with colours on a terminal, as one JSON object where asked for.
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
