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

/// The command's name.
pub const NAME: &str = "apply";

const BASE: &str = "base";

/// Examples of its use.
pub const EXAMPLES: &[Example] = &[
    Example {
        description: "Apply both lists and wait until they are in force everywhere",
        arguments: "apply --organisations examples/telvara/organisations.jsonc --plans examples/telvara/plans.jsonc --control http://10.10.1.10:8090 --token-file secrets/operator-token --wait",
        code: exit::SUCCESS,
    },
    Example {
        description: "Apply an edit of lists revision 6, and only if no other edit came between",
        arguments: "apply --base 6 --organisations examples/telvara/organisations.jsonc --plans examples/telvara/plans.jsonc --control http://10.10.1.10:8090 --token-file secrets/operator-token",
        code: exit::SUCCESS,
    },
    Example {
        description: "Send a change again after its answer was lost",
        arguments: "apply --change-id 0193c9a1-7e1c --organisations examples/telvara/organisations.jsonc --plans examples/telvara/plans.jsonc --control http://10.10.1.10:8090 --token-file secrets/operator-token",
        code: exit::SUCCESS,
    },
];

/// The command's signature.
pub fn signature() -> Command {
    let command =
        Command::new(NAME).about("Check both lists whole, and replace the lists in force by them").arg(
            Arg::new(BASE)
                .long(BASE)
                .value_name("REVISION")
                .value_parser(value_parser!(u64))
                .help("The lists revision that the edit was based on; without it, the one in force now"),
        );
    with_change(with_control(with_lists(command)))
}

/// The report of lists that are in force already.
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

/// What an edit without a named base is based on.
enum Base {
    Edit(ListsRevision),
    /// The lists in force are the same: there is nothing to apply.
    Unchanged(Report),
}

/// A change that is sent again must be sent even if the lists are in force, to learn its first outcome.
async fn current_base(client: &ControlClient, lists: &Lists, is_resend: bool) -> Result<Base, CliError> {
    let current = client.lists().await?;
    let lists_revision = current.lists_revision;
    if is_resend || *current.lists != *lists {
        return Ok(Base::Edit(lists_revision));
    }
    let text = format!("unchanged: the same lists are in force as lists revision {lists_revision}");
    Ok(Base::Unchanged(Report::success(text, &Unchanged { outcome: "unchanged", lists_revision })))
}
