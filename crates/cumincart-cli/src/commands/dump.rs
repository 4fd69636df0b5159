//! `cumincart dump`: prints the full state of processes, with keys redacted.

use {
    super::Example,
    crate::{
        client::{InstanceUrl, dump},
        error::CliError,
        exit,
        options::{read_token, request_timeout, timeout_argument, token_file_argument},
        report::Report,
    },
    clap::{Arg, ArgAction, ArgGroup, ArgMatches, Command},
    serde::Serialize,
};

/// The name of the command.
pub const NAME: &str = "dump";

const ENTRY: &str = "entry";
const CONTROL: &str = "control";
const ENTRY_PATH: &str = "/dump";
const CONTROL_PATH: &str = "/v1/dump";

/// The examples in its help.
pub const EXAMPLES: &[Example] = &[Example {
    description: "Dump a control instance and an entry instance",
    arguments: "dump --control http://10.10.1.10:8090 --entry http://10.10.1.11:8080 --token-file secrets/operator-token",
    code: exit::SUCCESS,
}];

/// Returns the signature of the command.
pub fn signature() -> Command {
    Command::new(NAME)
        .about("Print the full state of processes as JSON, with keys redacted")
        .arg(url_argument(CONTROL, "The HTTP address of a control instance to dump"))
        .arg(url_argument(ENTRY, "The HTTP address of an entry instance to dump"))
        .group(ArgGroup::new("processes").args([CONTROL, ENTRY]).multiple(true).required(true))
        .arg(token_file_argument())
        .arg(timeout_argument())
}

fn url_argument(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("URL")
        .value_delimiter(',')
        .action(ArgAction::Append)
        .value_parser(InstanceUrl::parse)
        .help(help)
}

/// The dump of one process, or the error if it could not be dumped.
#[derive(Debug, Serialize)]
struct ProcessDump {
    url: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    dump: Option<serde_json::Value>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

/// Runs the command. The exit code is that of the first error.
pub async fn run(matches: &ArgMatches) -> Result<Report, CliError> {
    let token = read_token(matches)?;
    let mut dumps = Vec::new();
    let mut code = exit::SUCCESS;
    for (name, path) in [(CONTROL, CONTROL_PATH), (ENTRY, ENTRY_PATH)] {
        for url in matches.get_many::<InstanceUrl>(name).into_iter().flatten() {
            let (mut got, mut failed) = (None, None);
            match dump(url, path, &token, request_timeout(matches)).await {
                Ok(value) => got = Some(value),
                Err(error) => {
                    if code == exit::SUCCESS {
                        code = error.exit_code();
                    }
                    failed = Some(error.to_string());
                }
            }
            dumps.push(ProcessDump { url: url.to_string(), dump: got, error: failed });
        }
    }
    let text = serde_json::to_string_pretty(&dumps).expect("dumps are plain data");
    Ok(Report::success(text, &dumps).with_code(code))
}
