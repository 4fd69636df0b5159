//! `cumincart diff`: compares both lists with the lists in force.

use {
    super::Example,
    crate::{
        difference::{Difference, compare_lists},
        error::CliError,
        exit,
        options::{ListSources, control_client, with_control, with_lists},
        report::Report,
    },
    clap::{Arg, ArgAction, ArgMatches, Command},
    cumincart_config::parse_lists,
    cumincart_protocol::number::ListsRevision,
    serde::Serialize,
};

/// The name of the command.
pub const NAME: &str = "diff";

const EXIT_CODE: &str = "exit-code";

/// The examples in its help.
pub const EXAMPLES: &[Example] = &[
    Example {
        description: "Show what applying the lists would change",
        arguments: "diff --organisations examples/telvara/organisations.jsonc --plans examples/telvara/plans.jsonc --control http://10.10.1.10:8090 --token-file secrets/operator-token",
        code: exit::SUCCESS,
    },
    Example {
        description: "Report by the exit code whether the lists differ",
        arguments: "diff --exit-code --organisations examples/telvara/organisations.jsonc --plans examples/telvara/plans.jsonc --control http://10.10.1.10:8090 --token-file secrets/operator-token",
        code: exit::DIFFERENCES_FOUND,
    },
];

/// Returns the signature of the command.
pub fn signature() -> Command {
    let command =
        Command::new(NAME).about("Compare both lists with the lists in force, without applying them").arg(
            Arg::new(EXIT_CODE)
                .long(EXIT_CODE)
                .action(ArgAction::SetTrue)
                .help("Exit with code 9 if the lists differ"),
        );
    with_control(with_lists(command))
}

/// The differences, as JSON.
#[derive(Debug, Serialize)]
struct DiffReport {
    lists_revision: ListsRevision,
    differences: Vec<Difference>,
}

/// Runs the command.
pub async fn run(matches: &ArgMatches) -> Result<Report, CliError> {
    let sources = ListSources::read(matches)?;
    let edited = parse_lists(&sources.organisations, &sources.plans)?;
    let current = control_client(matches)?.lists().await?;
    let differences = compare_lists(&current.lists, &edited);
    let lists_revision = current.lists_revision;
    let text = if differences.is_empty() {
        format!("no differences to lists revision {lists_revision}")
    } else {
        let lines: Vec<String> = differences.iter().map(Difference::to_string).collect();
        format!("differences to lists revision {lists_revision}:\n{}", lines.join("\n"))
    };
    let differs = matches.get_flag(EXIT_CODE) && !differences.is_empty();
    let code = if differs { exit::DIFFERENCES_FOUND } else { exit::SUCCESS };
    Ok(Report::success(text, &DiffReport { lists_revision, differences }).with_code(code))
}
