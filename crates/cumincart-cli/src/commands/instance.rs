//! `cumincart instance out|in`: takes an instance out of service or brings it back.

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
    cumincart_protocol::{change::Action, name::InstanceName, operator_api::StatusBody},
};

/// The name of the command.
pub const NAME: &str = "instance";

/// The examples in its help.
pub const EXAMPLES: &[Example] = &[
    Example {
        description: "Take an instance out of service before its machine is restarted",
        arguments: "instance out sofia-a-entry-1 --control http://10.10.1.10:8090 --token-file secrets/operator-token --wait",
        code: exit::SUCCESS,
    },
    Example {
        description: "Bring it back into service",
        arguments: "instance in sofia-a-entry-1 --control http://10.10.1.10:8090 --token-file secrets/operator-token",
        code: exit::SUCCESS,
    },
];

/// Returns the signature of the command.
pub fn signature() -> Command {
    let about = "Take an instance out of service, or bring it back";
    with_out_and_in_subcommands(Command::new(NAME).about(about), "The name of the instance")
}

/// Runs the command.
pub async fn run(matches: &ArgMatches) -> Result<Report, CliError> {
    let request = parse_request(matches);
    let client = control_client(request.matches)?;
    check_name_exists(&client, &request, "instance", known_instances).await?;
    let action = Action::SetInstance { instance: InstanceName::from(&*request.name), out: request.out };
    submit(&client, request.matches, action).await
}

/// Returns the entry instances in the status, the control instances, and the instances that are already out of service.
fn known_instances(status: &StatusBody) -> Vec<String> {
    let entry = status.instances.iter().map(|instance| &instance.instance);
    let control = status.members.iter().map(|member| &member.instance);
    entry.chain(control).chain(&status.instances_out).map(InstanceName::to_string).collect()
}
