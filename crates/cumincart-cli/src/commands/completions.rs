//! `cumincart completions`: completions for shells.

use {
    super::{Example, root},
    crate::{exit, report::Report},
    clap::{Arg, ArgMatches, Command, value_parser},
    clap_complete::{Shell, generate},
};

/// The command's name.
pub const NAME: &str = "completions";

const SHELL: &str = "shell";

/// Examples of its use.
pub const EXAMPLES: &[Example] = &[Example {
    description: "Print completions for bash",
    arguments: "completions bash",
    code: exit::SUCCESS,
}];

/// The command's signature.
pub fn signature() -> Command {
    Command::new(NAME).about("Print completions for a shell").arg(
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
