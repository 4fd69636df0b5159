//! The parts that `domain` and `instance` share: taking a failure domain or instance out of service and back in.

use {
    crate::{change::with_change, client::ControlClient, error::CliError, options::with_control},
    clap::{Arg, ArgAction, ArgMatches, Command},
    cumincart_config::suggestion::nearest,
    cumincart_protocol::operator_api::StatusBody,
};

const OUT: &str = "out";
const IN: &str = "in";
const NAME: &str = "name";
const FORCE: &str = "force";

/// Adds the subcommands `out` and `in`.
pub fn with_out_and_in_subcommands(command: Command, name_help: &'static str) -> Command {
    let subcommand = |name: &'static str, about: &'static str| {
        let subcommand = Command::new(name)
            .about(about)
            .arg(Arg::new(NAME).value_name("NAME").required(true).help(name_help))
            .arg(
                Arg::new(FORCE)
                    .long(FORCE)
                    .action(ArgAction::SetTrue)
                    .help("Accept a name that does not exist in the system yet"),
            );
        with_change(with_control(subcommand))
    };
    command
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(subcommand(OUT, "Take it out of service: after a few seconds it gets no new work"))
        .subcommand(subcommand(IN, "Bring it back into service"))
}

/// The parsed arguments of `out` or `in`.
#[derive(Debug)]
pub struct ServiceStateRequest<'a> {
    /// The arguments of `out` or `in`.
    pub matches: &'a ArgMatches,
    /// The name of the failure domain or instance.
    pub name: String,
    /// Whether to take it out of service.
    pub out: bool,
}

/// Parses the arguments of `out` or `in`.
pub fn parse_request(matches: &ArgMatches) -> ServiceStateRequest<'_> {
    let (direction, matches) = matches.subcommand().expect("the signature requires `out` or `in`");
    let name: &String = matches.get_one(NAME).expect("the argument is required");
    ServiceStateRequest { matches, name: name.clone(), out: direction == OUT }
}

/// Returns an error if the name does not exist in the system and `--force` is not set. Without this check, a misspelt
/// name would be accepted and take nothing out of service.
pub async fn check_name_exists(
    client: &ControlClient,
    request: &ServiceStateRequest<'_>,
    kind: &'static str,
    known: impl FnOnce(&StatusBody) -> Vec<String>,
) -> Result<(), CliError> {
    if request.matches.get_flag(FORCE) {
        return Ok(());
    }
    let mut names = known(&client.status().await?);
    names.sort();
    names.dedup();
    if names.contains(&request.name) {
        return Ok(());
    }
    let help = suggest_name(&request.name, &names);
    Err(CliError::UnknownName { kind, name: request.name.clone(), help })
}

fn suggest_name(unknown: &str, names: &[String]) -> String {
    match nearest(unknown, names.iter().map(String::as_str)) {
        Some(nearest) => format!("did you mean `{nearest}`"),
        None if names.is_empty() => "no name is known yet".to_owned(),
        None => format!("the known names are {}", names.join(", ")),
    }
}
