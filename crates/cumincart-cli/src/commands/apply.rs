//! `cumincart apply`: replaces both lists.

use {
    super::Example,
    crate::{
        change::{is_resend, submit, with_change},
        client::ControlClient,
        error::CliError,
        exit,
        options::{ListSources, control_client, with_control, with_lists},
        report::Report,
    },
    clap::{Arg, ArgMatches, Command, value_parser},
    cumincart_config::parse_lists,
    cumincart_protocol::{change::Action, lists::Lists, number::ListsRevision},
    serde::Serialize,
    std::sync::Arc,
};

/// The name of the command.
pub const NAME: &str = "apply";

const BASE: &str = "base";

/// The examples in its help.
pub const EXAMPLES: &[Example] = &[
    Example {
        description: "Apply both lists and wait until they are in force everywhere",
        arguments: "apply --organisations examples/telvara/organisations.jsonc --plans examples/telvara/plans.jsonc --control http://10.10.1.10:8090 --token-file secrets/operator-token --wait",
        code: exit::SUCCESS,
    },
    Example {
        description: "Apply an edit of lists revision 6, unless another edit was applied since",
        arguments: "apply --base 6 --organisations examples/telvara/organisations.jsonc --plans examples/telvara/plans.jsonc --control http://10.10.1.10:8090 --token-file secrets/operator-token",
        code: exit::SUCCESS,
    },
    Example {
        description: "Resend a change after its response was lost",
        arguments: "apply --change-id 0193c9a1-7e1c --organisations examples/telvara/organisations.jsonc --plans examples/telvara/plans.jsonc --control http://10.10.1.10:8090 --token-file secrets/operator-token",
        code: exit::SUCCESS,
    },
];

/// Returns the signature of the command.
pub fn signature() -> Command {
    let command =
        Command::new(NAME).about("Check both lists in full, then replace the lists in force with them").arg(
            Arg::new(BASE)
                .long(BASE)
                .value_name("REVISION")
                .value_parser(value_parser!(u64))
                .help("The lists revision that the edit is based on [default: the revision in force]"),
        );
    with_change(with_control(with_lists(command)))
}

/// The report when the same lists are already in force.
#[derive(Debug, Serialize)]
struct Unchanged {
    outcome: &'static str,
    lists_revision: ListsRevision,
}

/// Runs the command.
pub async fn run(matches: &ArgMatches) -> Result<Report, CliError> {
    let sources = ListSources::read(matches)?;
    let lists = parse_lists(&sources.organisations, &sources.plans)?;
    let client = control_client(matches)?;
    let named_base = matches.get_one(BASE).copied().map(ListsRevision);
    let base = match named_base {
        Some(base) => base,
        None => match current_base(&client, &lists, is_resend(matches)).await? {
            Base::Edit(base) => base,
            Base::Unchanged(report) => return Ok(report),
        },
    };
    submit(&client, matches, Action::Apply { base, lists: Arc::new(lists) }).await
}

/// The base of an edit for which `--base` is not set.
enum Base {
    /// The revision in force.
    Edit(ListsRevision),
    /// The same lists are already in force, so there is nothing to apply.
    Unchanged(Report),
}

/// Compares the edited lists with the lists in force. A resent change must be sent even if its lists are already in
/// force, because only the control instances know the outcome of the first attempt.
async fn current_base(client: &ControlClient, lists: &Lists, is_resend: bool) -> Result<Base, CliError> {
    let current = client.lists().await?;
    let lists_revision = current.lists_revision;
    if is_resend || *current.lists != *lists {
        return Ok(Base::Edit(lists_revision));
    }
    let text = format!("unchanged: the same lists are in force as lists revision {lists_revision}");
    Ok(Base::Unchanged(Report::success(text, &Unchanged { outcome: "unchanged", lists_revision })))
}
