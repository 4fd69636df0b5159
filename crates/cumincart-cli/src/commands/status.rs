//! `cumincart status`: shows the state of the system.

use {
    super::Example,
    crate::{
        error::CliError,
        exit,
        options::{control_client, with_control},
        report::Report,
    },
    clap::{ArgMatches, Command},
    cumincart_protocol::{
        announcement::Role,
        operator_api::{EndpointBody, GroupBody, InstanceBody, StatusBody},
    },
    std::fmt::Display,
};

/// The name of the command.
pub const NAME: &str = "status";

/// The examples in its help.
pub const EXAMPLES: &[Example] = &[
    Example {
        description: "Show the state, from the first of two control instances that responds",
        arguments: "status --control http://10.10.1.10:8090 --control http://10.10.2.10:8090 --token-file secrets/operator-token",
        code: exit::SUCCESS,
    },
    Example {
        description: "Show the state as JSON",
        arguments: "status --json --control http://10.10.1.10:8090 --token-file secrets/operator-token",
        code: exit::SUCCESS,
    },
];

/// Returns the signature of the command.
pub fn signature() -> Command {
    with_control(
        Command::new(NAME)
            .about("Show the state of the system, as confirmed by a quorum of control instances"),
    )
}

/// Runs the command.
pub async fn run(matches: &ArgMatches) -> Result<Report, CliError> {
    let status = control_client(matches)?.status().await?;
    Ok(Report::of_lines(&lines(&status), &status))
}

fn lines(status: &StatusBody) -> Vec<String> {
    let mut lines = vec![
        format!("leader     {} in term {}", status.leader, status.term),
        format!("revision   {}, lists revision {}", status.revision, status.lists_revision),
        format!(
            "out        failure domains: {}; instances: {}",
            list(&status.domains_out),
            list(&status.instances_out)
        ),
        format!("control    {}", members_text(status)),
    ];
    lines.push("instances".to_owned());
    lines.extend(status.instances.iter().map(instance_line));
    for group in &status.groups {
        lines.extend(group_lines(group));
    }
    lines
}

fn list<T: Display>(names: &[T]) -> String {
    if names.is_empty() {
        return "none".to_owned();
    }
    let names: Vec<String> = names.iter().map(T::to_string).collect();
    names.join(", ")
}

fn members_text(status: &StatusBody) -> String {
    let members: Vec<String> = status
        .members
        .iter()
        .map(|member| {
            if member.voter { member.instance.to_string() } else { format!("{} (learner)", member.instance) }
        })
        .collect();
    list(&members)
}

fn instance_line(instance: &InstanceBody) -> String {
    let lease = match instance.lease_left_ms {
        0 => "lease expired".to_owned(),
        left_ms => format!("lease expires in {left_ms} ms"),
    };
    format!("  {:<24} revision {}, {lease}", instance.instance.as_str(), instance.revision)
}

fn group_lines(group: &GroupBody) -> Vec<String> {
    let primary = match (&group.primary, group.writable) {
        (Some(primary), true) => format!("primary {primary}"),
        (Some(primary), false) => format!("primary {primary}, not writable yet"),
        (None, _) => "no primary".to_owned(),
    };
    let mut lines = vec![format!("service {}: term {}, {primary}", group.service, group.term)];
    lines.extend(group.endpoints.iter().map(endpoint_line));
    lines
}

fn endpoint_line(endpoint: &EndpointBody) -> String {
    let announced = match &endpoint.announced {
        None => "not announced".to_owned(),
        Some(announced) => {
            let role = match announced.role {
                Role::Primary => "primary",
                Role::Replica => "replica",
            };
            format!(
                "{role} at position {}, lag {} ms, announced {} ms ago",
                announced.position, announced.lag_ms, announced.age_ms
            )
        }
    };
    let leaving = if endpoint.leaving { ", leaving" } else { "" };
    format!(
        "  {:<24} {}, {}: {announced}{leaving}",
        endpoint.endpoint.as_str(),
        endpoint.domain,
        endpoint.address
    )
}
