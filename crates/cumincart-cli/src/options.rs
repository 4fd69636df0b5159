//! Arguments that several commands share.

use {
    crate::{
        client::{ControlClient, InstanceUrl},
        error::CliError,
    },
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    cumincart_config::Source,
    std::{
        path::{Path, PathBuf},
        time::Duration,
    },
};

/// The name of the global argument `--json`.
pub const JSON: &str = "json";

const CONTROL: &str = "control";
const TOKEN_FILE: &str = "token-file";
const TIMEOUT: &str = "timeout-ms";
const ORGANISATIONS: &str = "organisations";
const PLANS: &str = "plans";

/// The environment variable that replaces `--control`, with comma-separated addresses.
pub const CONTROL_VARIABLE: &str = "CUMINCART_CONTROL";

/// The environment variable that replaces `--token-file`.
pub const TOKEN_FILE_VARIABLE: &str = "CUMINCART_OPERATOR_TOKEN_FILE";

/// The default time-out of a request, retries included, in milliseconds.
pub const DEFAULT_TIMEOUT_MS: u64 = 10_000;

/// Returns the argument `--json`.
pub fn json_argument() -> Arg {
    Arg::new(JSON).long(JSON).global(true).action(ArgAction::SetTrue).help("Print output and errors as JSON")
}

/// Adds the arguments for connecting to the control instances.
pub fn with_control(command: Command) -> Command {
    command
        .arg(
            Arg::new(CONTROL)
                .long(CONTROL)
                .value_name("URL")
                .env(CONTROL_VARIABLE)
                .value_delimiter(',')
                .action(ArgAction::Append)
                .required(true)
                .value_parser(InstanceUrl::parse)
                .help("The HTTP address of a control instance; if several are given, they are tried in turn"),
        )
        .arg(token_file_argument())
        .arg(timeout_argument())
}

/// Returns the argument for the operator token file.
pub fn token_file_argument() -> Arg {
    Arg::new(TOKEN_FILE)
        .long(TOKEN_FILE)
        .value_name("FILE")
        .env(TOKEN_FILE_VARIABLE)
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The file with the operator token")
}

/// Returns the argument for the request time-out.
pub fn timeout_argument() -> Arg {
    Arg::new(TIMEOUT)
        .long(TIMEOUT)
        .value_name("MS")
        .default_value(DEFAULT_TIMEOUT_MS.to_string())
        .value_parser(value_parser!(u64).range(1..))
        .help("The time-out of a request, retries included, in milliseconds")
}

/// Adds the arguments for the files of the two lists.
pub fn with_lists(command: Command) -> Command {
    command
        .arg(file_argument(ORGANISATIONS, "The list of organisations").required(true))
        .arg(file_argument(PLANS, "The list of services, routes and plans").required(true))
}

/// Returns an argument that takes the path of a file.
pub fn file_argument(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("FILE").value_parser(value_parser!(PathBuf)).help(help)
}

/// Creates a client for the control instances given by the arguments.
pub fn control_client(matches: &ArgMatches) -> Result<ControlClient, CliError> {
    let urls = matches.get_many(CONTROL).expect("the argument is required").cloned().collect();
    ControlClient::new(urls, read_token(matches)?, request_timeout(matches))
}

/// Returns the request time-out.
pub fn request_timeout(matches: &ArgMatches) -> Duration {
    Duration::from_millis(*matches.get_one(TIMEOUT).expect("the argument has a default"))
}

/// Reads the operator token from the file given by the arguments.
pub fn read_token(matches: &ArgMatches) -> Result<String, CliError> {
    let path: &PathBuf = matches.get_one(TOKEN_FILE).expect("the argument is required");
    let unusable = |reason: String| CliError::TokenFile { path: path.display().to_string(), reason };
    let text = std::fs::read_to_string(path).map_err(|error| unusable(error.to_string()))?;
    let token = text.trim();
    if token.is_empty() {
        return Err(unusable("the file is empty".to_owned()));
    }
    if !token.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(unusable(
            "the token contains characters other than printable ASCII without spaces".to_owned(),
        ));
    }
    Ok(token.to_owned())
}

/// The source texts of the two lists.
#[derive(Debug, Clone)]
pub struct ListSources {
    /// The list of organisations.
    pub organisations: Source,
    /// The list of services, routes and plans.
    pub plans: Source,
}

impl ListSources {
    /// Reads the files given by the arguments.
    pub fn read(matches: &ArgMatches) -> Result<Self, CliError> {
        let read = |name| {
            let path: &PathBuf = matches.get_one(name).expect("the argument is required");
            read_source(path)
        };
        Ok(Self { organisations: read(ORGANISATIONS)?, plans: read(PLANS)? })
    }
}

fn read_source(path: &Path) -> Result<Source, CliError> {
    Ok(Source::read(path)?)
}
