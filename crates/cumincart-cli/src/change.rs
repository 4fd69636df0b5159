//! Submits a change to the control instances, reports its outcome, and optionally waits until it is in force.

use {
    crate::{
        client::ControlClient,
        error::CliError,
        exit,
        options::JSON,
        report::Report,
        wait::{InForce, wait_until_in_force},
    },
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    cumincart_protocol::{
        change::{Action, Change, ChangeId, Outcome},
        name::is_name,
        number::{ListsRevision, Revision},
    },
    serde::Serialize,
    std::{sync::Arc, time::Duration},
    uuid::Uuid,
};

const CHANGE_ID: &str = "change-id";
const WAIT: &str = "wait";
const WAIT_TIMEOUT: &str = "wait-timeout-ms";

/// The default time-out of `--wait`, in milliseconds.
pub const DEFAULT_WAIT_TIMEOUT_MS: u64 = 15_000;

/// Adds the arguments that all commands that submit a change share.
pub fn with_change(command: Command) -> Command {
    command
        .arg(
            Arg::new(CHANGE_ID)
                .long(CHANGE_ID)
                .value_name("ID")
                .value_parser(parse_change_id)
                .help("Resend a change under its original id after its response was lost"),
        )
        .arg(
            Arg::new(WAIT)
                .long(WAIT)
                .action(ArgAction::SetTrue)
                .help("Wait until the change is in force everywhere"),
        )
        .arg(
            Arg::new(WAIT_TIMEOUT)
                .long(WAIT_TIMEOUT)
                .value_name("MS")
                .default_value(DEFAULT_WAIT_TIMEOUT_MS.to_string())
                .value_parser(value_parser!(u64).range(1..))
                .help("The time-out of `--wait`, in milliseconds"),
        )
}

fn parse_change_id(text: &str) -> Result<ChangeId, String> {
    if !is_name(text) {
        return Err("a change id has 1 to 64 ASCII letters, digits, `-`, `_` and `.`".to_owned());
    }
    Ok(ChangeId(Arc::from(text)))
}

/// Returns the change id from the arguments, or a new one.
pub fn change_id(matches: &ArgMatches) -> ChangeId {
    let named: Option<&ChangeId> = matches.get_one(CHANGE_ID);
    named.cloned().unwrap_or_else(|| ChangeId(Uuid::now_v7().to_string().into()))
}

/// Returns whether the arguments contain a change id. The change may then be a resend.
pub fn is_resend(matches: &ArgMatches) -> bool {
    matches.contains_id(CHANGE_ID)
}

/// The outcome of a change, as JSON.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
enum ChangeReport {
    /// The change was committed.
    Accepted { change_id: ChangeId, revision: Revision, lists_revision: ListsRevision, waited: WaitOutcome },
    /// The lists in force were no longer at the base revision of this edit.
    Conflict { change_id: ChangeId, base: ListsRevision, current: ListsRevision },
}

/// Submits a change, waits until it is in force if `--wait` is set, and reports the outcome.
pub async fn submit(
    client: &ControlClient,
    matches: &ArgMatches,
    action: Action,
) -> Result<Report, CliError> {
    let change = Change { id: change_id(matches), action };
    print_change_id(matches, &change.id);
    match client.submit_change(&change).await? {
        Outcome::Accepted { revision, lists_revision } => {
            let waited = match wait_timeout(matches) {
                Some(timeout) => {
                    WaitOutcome::from_result(wait_until_in_force(client, revision, timeout).await)
                }
                None => WaitOutcome::NotAsked,
            };
            Ok(accepted(change.id, revision, lists_revision, waited))
        }
        Outcome::Conflict { base, current } => Ok(conflict(change.id, base, current)),
    }
}

/// Prints the change id before the change is sent, so that it can be resent even if this process is killed.
fn print_change_id(matches: &ArgMatches, id: &ChangeId) {
    if !matches.get_flag(JSON) {
        eprintln!("change id: {}", id.0);
    }
}

/// The result of waiting until a committed change is in force on all entry instances.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum WaitOutcome {
    /// `--wait` was not set.
    NotAsked,
    /// The state at the end of the wait, whether the change is in force everywhere or the wait timed out.
    Seen(InForce),
    /// The status could not be read from the control instances.
    Failed(String),
}

impl WaitOutcome {
    fn from_result(result: Result<InForce, CliError>) -> Self {
        match result {
            Ok(in_force) => Self::Seen(in_force),
            Err(error) => Self::Failed(first_line(&error.to_string())),
        }
    }

    fn text(&self) -> String {
        match self {
            Self::NotAsked => String::new(),
            Self::Seen(in_force) => format!("\n{}", in_force.text()),
            Self::Failed(reason) => format!("\ncannot determine whether it is in force everywhere: {reason}"),
        }
    }

    fn exit_code(&self) -> u8 {
        match self {
            Self::NotAsked => exit::SUCCESS,
            Self::Seen(in_force) if in_force.is_everywhere() => exit::SUCCESS,
            Self::Seen(_) | Self::Failed(_) => exit::NOT_IN_FORCE,
        }
    }
}

fn first_line(text: &str) -> String {
    text.lines().next().unwrap_or_default().to_owned()
}

fn wait_timeout(matches: &ArgMatches) -> Option<Duration> {
    let timeout_ms: u64 = *matches.get_one(WAIT_TIMEOUT).expect("the argument has a default");
    matches.get_flag(WAIT).then(|| Duration::from_millis(timeout_ms))
}

fn accepted(
    change_id: ChangeId,
    revision: Revision,
    lists_revision: ListsRevision,
    waited: WaitOutcome,
) -> Report {
    let id = &change_id.0;
    let wait_text = waited.text();
    let text =
        format!("accepted: change {id}, revision {revision}, lists revision {lists_revision}{wait_text}");
    let code = waited.exit_code();
    let json = ChangeReport::Accepted { change_id, revision, lists_revision, waited };
    Report::success(text, &json).with_code(code)
}

fn conflict(change_id: ChangeId, base: ListsRevision, current: ListsRevision) -> Report {
    let id = &change_id.0;
    let text = format!(
        "conflict: change {id} is based on lists revision {base}, but lists revision {current} is in force; \
         nothing was applied\nrun `cumincart diff`, merge the changes, and apply again under a new change id"
    );
    Report::success(text, &ChangeReport::Conflict { change_id, base, current }).with_code(exit::CONFLICT)
}
