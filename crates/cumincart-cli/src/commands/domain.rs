//! `cumincart domain out|in`: takes a failure domain out of service and brings it back.

use {
    super::Example,
    crate::{
        change::send,
        error::CliError,
        exit,
        options::control_client,
        report::Report,
        service_state::{asked, check_known, with_out_and_in},
    },
    clap::{ArgMatches, Command},
    cumincart_protocol::{change::Action, name::DomainName, operator_api::StatusBody},
};

/// The command's name.
pub const NAME: &str = "domain";

/// Examples of its use.
pub const EXAMPLES: &[Example] = &[
    Example {
        does: "Take a failure domain out, and wait until no instance can give it new work",
        arguments: "domain out varna-a --control http://10.10.1.10:8090 --token-file secrets/operator-token --wait",
        code: exit::DONE,
    },
    Example {
        does: "Bring it back",
        arguments: "domain in varna-a --control http://10.10.1.10:8090 --token-file secrets/operator-token",
        code: exit::DONE,
    },
];

/// The command's signature.
pub fn signature() -> Command {
    let about = "Take a failure domain out of service, or bring it back";
    with_out_and_in(Command::new(NAME).about(about), "The failure domain")
}

/// Runs the command.
pub async fn run(matches: &ArgMatches) -> Result<Report, CliError> {
    let asked = asked(matches);
    let client = control_client(asked.matches)?;
    check_known(&client, &asked, "failure domain", known_domains).await?;
    let action = Action::SetDomain { domain: DomainName::from(&*asked.name), out: asked.out };
    send(&client, asked.matches, action).await
}

/// A failure domain is known by an endpoint in it, or because it is out already.
fn known_domains(status: &StatusBody) -> Vec<String> {
    let endpoints = status.groups.iter().flat_map(|group| &group.endpoints);
    let domains = endpoints.map(|endpoint| &endpoint.domain).chain(&status.domains_out);
    domains.map(DomainName::to_string).collect()
}
