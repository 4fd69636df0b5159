//! `cumincart demo`: runs a small fleet in one process.

use {
    super::Example,
    crate::{
        demo::{self, DemoOptions, InjectedFault},
        error::CliError,
        report::Report,
    },
    clap::{Arg, ArgAction, ArgMatches, Command, builder::PossibleValuesParser},
};

/// The name of the command.
pub const NAME: &str = "demo";

const CHECK: &str = "check";

const BREAK: &str = "break";

/// No examples, because tests run all examples and the demo runs until it is interrupted. The README shows its use.
pub const EXAMPLES: &[Example] = &[];

/// Returns the signature of the command.
pub fn signature() -> Command {
    Command::new(NAME)
        .about("Run a small fleet with stand-in endpoints in this process until interrupted")
        .arg(
            Arg::new(CHECK)
                .long(CHECK)
                .action(ArgAction::SetTrue)
                .help("Send scripted requests to the fleet, print the measurements, and exit"),
        )
        .arg(
            Arg::new(BREAK)
                .long(BREAK)
                .value_name("PROMISE")
                .requires(CHECK)
                .value_parser(PossibleValuesParser::new(InjectedFault::ALL.map(|(name, _)| name)))
                .help("Inject a fault that breaks a promise, to show that its check fails"),
        )
}

/// Runs the command.
pub async fn run(matches: &ArgMatches) -> Result<Report, CliError> {
    let injected_fault = matches.get_one::<String>(BREAK).and_then(|name| InjectedFault::named(name));
    demo::run(DemoOptions { check: matches.get_flag(CHECK), injected_fault }).await
}
