//! `cumincart domain out|in`: takes a failure domain out of service or brings it back.

use {
    super::Example,
    crate::{
        change::submit,
        error::CliError,
        exit,
        options::control_client,
        report::Report,
        service_state::{check_name_exists, parse_request, with_out_and_in_subcommands},
    },
    clap::{ArgMatches, Command},
    cumincart_protocol::{change::Action, name::DomainName, operator_api::StatusBody},
};

/// The name of the command.
pub const NAME: &str = "domain";

/// The examples in its help.
pub const EXAMPLES: &[Example] = &[
    Example {
        description: "Take a failure domain out of service, and wait until every instance knows",
        arguments: "domain out varna-a --control http://10.10.1.10:8090 --token-file secrets/operator-token --wait",
        code: exit::SUCCESS,
    },
    Example {
        description: "Bring it back into service",
        arguments: "domain in varna-a --control http://10.10.1.10:8090 --token-file secrets/operator-token",
        code: exit::SUCCESS,
    },
];

/// Returns the signature of the command.
pub fn signature() -> Command {
    let about = "Take a failure domain out of service, or bring it back";
    with_out_and_in_subcommands(Command::new(NAME).about(about), "The name of the failure domain")
}

/// Runs the command.
pub async fn run(matches: &ArgMatches) -> Result<Report, CliError> {
    let request = parse_request(matches);
    let client = control_client(request.matches)?;
    check_name_exists(&client, &request, "failure domain", known_domains).await?;
    let action = Action::SetDomain { domain: DomainName::from(&*request.name), out: request.out };
    submit(&client, request.matches, action).await
}

/// Returns the failure domains of all endpoints, and those that are already out of service.
fn known_domains(status: &StatusBody) -> Vec<String> {
    let endpoints = status.groups.iter().flat_map(|group| &group.endpoints);
    let domains = endpoints.map(|endpoint| &endpoint.domain).chain(&status.domains_out);
    domains.map(DomainName::to_string).collect()
}
