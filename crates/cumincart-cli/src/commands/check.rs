//! `cumincart check`: checks lists and settings without applying them.

use {
    super::Example,
    crate::{error::CliError, exit, options::file_argument, report::Report},
    clap::{ArgAction, ArgGroup, ArgMatches, Command},
    cumincart_config::{Source, parse_lists, read_control_settings, read_entry_settings},
    serde::Serialize,
    std::path::PathBuf,
};

/// The name of the command.
pub const NAME: &str = "check";

const ORGANISATIONS: &str = "organisations";
const PLANS: &str = "plans";
const ENTRY: &str = "entry";
const CONTROL_SETTINGS: &str = "control-settings";

/// The examples in its help.
pub const EXAMPLES: &[Example] = &[
    Example {
        description: "Check both lists, as a version control hook would",
        arguments: "check --organisations examples/telvara/organisations.jsonc --plans examples/telvara/plans.jsonc",
        code: exit::SUCCESS,
    },
    Example {
        description: "Check the settings of an entry and of a control instance",
        arguments: "check --entry examples/telvara/entry.jsonc --control-settings examples/telvara/control.jsonc",
        code: exit::SUCCESS,
    },
];

/// Returns the signature of the command.
pub fn signature() -> Command {
    Command::new(NAME)
        .about("Check lists and settings and report every problem, without applying them")
        .arg(file_argument(ORGANISATIONS, "The list of organisations").requires(PLANS))
        .arg(file_argument(PLANS, "The list of services, routes and plans").requires(ORGANISATIONS))
        .arg(file_argument(ENTRY, "Settings of an entry instance").action(ArgAction::Append))
        .arg(file_argument(CONTROL_SETTINGS, "Settings of a control instance").action(ArgAction::Append))
        .group(
            ArgGroup::new("files")
                .args([ORGANISATIONS, PLANS, ENTRY, CONTROL_SETTINGS])
                .multiple(true)
                .required(true),
        )
}

/// The numbers of checked items and files, as JSON.
#[derive(Debug, Default, Serialize)]
struct Checked {
    organisations: usize,
    services: usize,
    plans: usize,
    settings_files: usize,
}

/// Runs the command.
pub fn run(matches: &ArgMatches) -> Result<Report, CliError> {
    let mut checked = Checked::default();
    let mut lines = Vec::new();
    let lists: Option<(&PathBuf, &PathBuf)> = matches.get_one(ORGANISATIONS).zip(matches.get_one(PLANS));
    if let Some((organisations, plans)) = lists {
        let lists = parse_lists(&Source::read(organisations)?, &Source::read(plans)?)?;
        checked.organisations = lists.organisations.organisations.len();
        checked.services = lists.plans.services.len();
        checked.plans = lists.plans.plans.len();
        lines.push(format!(
            "the lists are valid: {} organisations, {} services, {} plans",
            checked.organisations, checked.services, checked.plans
        ));
    }
    for path in matches.get_many::<PathBuf>(ENTRY).into_iter().flatten() {
        let settings = read_entry_settings(path)?;
        lines.push(format!("{} is valid: entry instance {}", path.display(), settings.instance));
        checked.settings_files += 1;
    }
    for path in matches.get_many::<PathBuf>(CONTROL_SETTINGS).into_iter().flatten() {
        let settings = read_control_settings(path)?;
        lines.push(format!("{} is valid: control instance {}", path.display(), settings.instance));
        checked.settings_files += 1;
    }
    Ok(Report::success(lines.join("\n"), &checked))
}
