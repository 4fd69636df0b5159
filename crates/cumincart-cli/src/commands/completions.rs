//! `cumincart completions`: prints a completion script for a shell.

use {
    super::{Example, root},
    crate::{exit, report::Report},
    clap::{Arg, ArgMatches, Command, value_parser},
    clap_complete::{Shell, generate},
};

/// The name of the command.
pub const NAME: &str = "completions";

const SHELL: &str = "shell";

/// The examples in its help.
pub const EXAMPLES: &[Example] = &[Example {
    description: "Print the completion script for bash",
    arguments: "completions bash",
    code: exit::SUCCESS,
}];

/// Returns the signature of the command.
pub fn signature() -> Command {
    Command::new(NAME).about("Print a completion script for a shell").arg(
        Arg::new(SHELL)
            .value_name("SHELL")
            .required(true)
            .value_parser(value_parser!(Shell))
            .help("The shell"),
    )
}

/// Runs the command.
pub fn run(matches: &ArgMatches) -> Report {
    let shell: Shell = *matches.get_one(SHELL).expect("the argument is required");
    let mut script = Vec::new();
    generate(shell, &mut root(), "cumincart", &mut script);
    let script = String::from_utf8_lossy(&script).into_owned();
    Report::success(script.clone(), &script)
}
