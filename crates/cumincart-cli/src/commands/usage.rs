//! `cumincart usage`: shows the last accounting windows, whether they are reported and what organisations ran in them.

use {
    super::Example,
    crate::{
        error::CliError,
        exit,
        options::{control_client, with_control},
        report::Report,
    },
    clap::{Arg, ArgMatches, Command},
    cumincart_protocol::usage::{UsageWindow, WindowOutcome},
};

/// The name of the command.
pub const NAME: &str = "usage";

const ORGANISATION: &str = "organisation";

/// The examples in its help.
pub const EXAMPLES: &[Example] = &[
    Example {
        description: "Show the last accounting windows",
        arguments: "usage --control http://10.10.1.10:8090 --token-file secrets/operator-token",
        code: exit::SUCCESS,
    },
    Example {
        description: "Show what one organisation ran in them",
        arguments: "usage --organisation clinic --control http://10.10.1.10:8090 --token-file secrets/operator-token",
        code: exit::SUCCESS,
    },
];

/// Returns the signature of the command.
pub fn signature() -> Command {
    with_control(
        Command::new(NAME)
            .about("Show the last accounting windows, whether they are reported and what organisations ran")
            .arg(
                Arg::new(ORGANISATION)
                    .long(ORGANISATION)
                    .value_name("NAME")
                    .help("Count only the requests of this organisation"),
            ),
    )
}

/// Runs the command.
pub async fn run(matches: &ArgMatches) -> Result<Report, CliError> {
    let organisation: Option<&String> = matches.get_one(ORGANISATION);
    let status = control_client(matches)?.status().await?;
    let windows: Vec<UsageWindow> = status
        .usage
        .into_items()
        .map(|mut window| {
            window.counts.retain(|count| {
                organisation.is_none_or(|organisation| *organisation == count.organisation.as_str())
            });
            window
        })
        .collect();
    let mut lines: Vec<String> = windows.iter().map(window_line).collect();
    if lines.is_empty() {
        lines.push("no accounting window is closed, or usage is not reported".to_owned());
    }
    Ok(Report::of_lines(&lines, &windows))
}

fn window_line(window: &UsageWindow) -> String {
    let requests: u64 = window.counts.iter().map(|count| count.requests).sum();
    let state = match window.outcome {
        None => "to be reported",
        Some(WindowOutcome::Reported) => "reported",
        Some(WindowOutcome::Missed) => "missed",
    };
    format!(
        "window {}  {state:<14}  {requests} requests of {} organisations",
        window.window,
        window.counts.len()
    )
}
