//! The commands. Each module contains the signature, the examples and the implementation of one command.

pub mod apply;
pub mod check;
pub mod completions;
pub mod demo;
pub mod diff;
pub mod domain;
pub mod dump;
pub mod explain;
pub mod instance;
pub mod key;
pub mod status;
pub mod usage;

use {crate::options::json_argument, clap::Command};

/// An example in the help of a command. Tests run all examples.
#[derive(Debug, Clone, Copy)]
pub struct Example {
    /// A short description.
    pub description: &'static str,
    /// The arguments after `cumincart`, separated by single spaces.
    pub arguments: &'static str,
    /// The expected exit code.
    pub code: u8,
}

/// The signature and examples of a command.
#[derive(Debug)]
pub struct CommandEntry {
    /// Returns the signature.
    pub signature: fn() -> Command,
    /// The examples.
    pub examples: &'static [Example],
}

/// All commands, in the order in which the help lists them.
pub const COMMANDS: [CommandEntry; 12] = [
    CommandEntry { signature: check::signature, examples: check::EXAMPLES },
    CommandEntry { signature: diff::signature, examples: diff::EXAMPLES },
    CommandEntry { signature: apply::signature, examples: apply::EXAMPLES },
    CommandEntry { signature: status::signature, examples: status::EXAMPLES },
    CommandEntry { signature: usage::signature, examples: usage::EXAMPLES },
    CommandEntry { signature: domain::signature, examples: domain::EXAMPLES },
    CommandEntry { signature: instance::signature, examples: instance::EXAMPLES },
    CommandEntry { signature: key::signature, examples: key::EXAMPLES },
    CommandEntry { signature: dump::signature, examples: dump::EXAMPLES },
    CommandEntry { signature: explain::signature, examples: explain::EXAMPLES },
    CommandEntry { signature: completions::signature, examples: completions::EXAMPLES },
    CommandEntry { signature: demo::signature, examples: demo::EXAMPLES },
];

/// Returns the signature of the `cumincart` command with all subcommands.
pub fn root() -> Command {
    let command = Command::new("cumincart")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates cumincart, a database proxy with session consistency")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(json_argument())
        .after_help(EXIT_CODES);
    COMMANDS.iter().fold(command, |command, entry| command.subcommand(with_examples(entry)))
}

const EXIT_CODES: &str = "\
Exit codes:
  0  all went well
  1  something failed that no other code names
  2  the arguments are wrong
  3  a list or a settings file is wrong; nothing was applied
  4  the lists had changed since the base of the edit; nothing was applied
  5  no control instance could serve the request; nothing was changed
  6  the change may have been committed: send it again under the same change id
  7  the change was committed, but is not yet known to be in force everywhere
  8  the operator token was refused
  9  `diff --exit-code` found differences";

fn with_examples(entry: &CommandEntry) -> Command {
    let line = |example: &Example| format!("  # {}\n  cumincart {}", example.description, example.arguments);
    if entry.examples.is_empty() {
        return (entry.signature)();
    }
    let lines: Vec<String> = entry.examples.iter().map(line).collect();
    (entry.signature)().after_help(format!("Examples:\n{}", lines.join("\n\n")))
}
