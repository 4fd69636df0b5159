//! `cumincart demo`: a whole small fleet in one process.

use {
    super::Example,
    crate::{
        demo::{self, DemoOptions, InjectedFault},
        error::CliError,
        report::Report,
    },
    clap::{Arg, ArgAction, ArgMatches, Command, builder::PossibleValuesParser},
};

/// The command's name.
pub const NAME: &str = "demo";

const CHECK: &str = "check";

const BREAK: &str = "break";

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
        .arg(
            Arg::new(BREAK)
                .long(BREAK)
                .value_name("PROMISE")
                .requires(CHECK)
                .value_parser(PossibleValuesParser::new(InjectedFault::ALL.map(|(name, _)| name)))
                .help("Break a promise on purpose, to see that its check fails"),
        )
}

/// Runs the command.
pub async fn run(matches: &ArgMatches) -> Result<Report, CliError> {
    let injected_fault = matches.get_one::<String>(BREAK).and_then(|name| InjectedFault::named(name));
    demo::run(DemoOptions { check: matches.get_flag(CHECK), injected_fault }).await
}
