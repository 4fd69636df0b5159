//! `cumincart demo`: a whole small fleet in one process.

use {
    super::Example,
    crate::{demo, report::Report},
    clap::{Arg, ArgAction, ArgMatches, Command},
};

/// The command's name.
pub const NAME: &str = "demo";

const CHECK: &str = "check";

/// The demo runs until it is interrupted, so its examples are in the README, not here.
pub const EXAMPLES: &[Example] = &[];

/// The command's signature.
pub fn signature() -> Command {
    Command::new(NAME)
        .about("Run a whole small fleet with stand-in endpoints in this process, until interrupted")
        .arg(
            Arg::new(CHECK)
                .long(CHECK)
                .action(ArgAction::SetTrue)
                .help("Drive scripted requests through it, print each measured figure, and end"),
        )
}

/// Runs the command.
pub async fn run(matches: &ArgMatches) -> Report {
    demo::run(demo::DemoOptions { check: matches.get_flag(CHECK) }).await
}
