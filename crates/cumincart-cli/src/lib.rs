//! The `cumincart` command for operators.
//!
//! [`execute`] parses arguments, runs one command and returns its output and exit code. [`main`] does so for the
//! arguments of the process, prints the output and returns the exit code.

pub mod change;
pub mod client;
pub mod commands;
pub mod demo;
pub mod difference;
pub mod error;
pub mod exit;
pub mod options;
pub mod report;
pub mod service_state;
pub mod wait;

use {
    crate::{
        commands::root,
        error::{CliError, render_error},
        report::{ProcessOutput, Report},
    },
    clap::ArgMatches,
    std::{
        ffi::OsString,
        io::{Write, stderr, stdout},
        process::ExitCode,
    },
};

/// Runs the command given by the arguments of the process.
pub fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let output = match runtime {
        Ok(runtime) => runtime.block_on(execute(std::env::args_os())),
        Err(error) => {
            ProcessOutput { stdout: String::new(), stderr: format!("{error}\n"), code: exit::FAILED }
        }
    };
    // A write error means that the reader closed the stream. The exit code still reports the outcome.
    let _ = stdout().write_all(output.stdout.as_bytes());
    let _ = stderr().write_all(output.stderr.as_bytes());
    ExitCode::from(output.code)
}

/// Runs the command given by the arguments, of which the first is the name of the program.
pub async fn execute(arguments: impl IntoIterator<Item = OsString>) -> ProcessOutput {
    let matches = match root().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => return usage(&error),
    };
    let as_json = matches.get_flag(options::JSON);
    match run(&matches).await {
        Ok(report) => report.into_output(as_json),
        Err(error) => ProcessOutput {
            stdout: String::new(),
            stderr: render_error(&error, as_json),
            code: error.exit_code(),
        },
    }
}

/// Returns the output for a clap error, which is either invalid arguments or a request for the help or version text.
fn usage(error: &clap::Error) -> ProcessOutput {
    let text = error.render().to_string();
    if error.use_stderr() {
        return ProcessOutput { stdout: String::new(), stderr: text, code: exit::USAGE };
    }
    ProcessOutput { stdout: text, stderr: String::new(), code: exit::SUCCESS }
}

async fn run(matches: &ArgMatches) -> Result<Report, CliError> {
    let (name, matches) = matches.subcommand().expect("the signature requires a command");
    match name {
        commands::apply::NAME => commands::apply::run(matches).await,
        commands::check::NAME => commands::check::run(matches),
        commands::completions::NAME => Ok(commands::completions::run(matches)),
        commands::demo::NAME => commands::demo::run(matches).await,
        commands::diff::NAME => commands::diff::run(matches).await,
        commands::domain::NAME => commands::domain::run(matches).await,
        commands::dump::NAME => commands::dump::run(matches).await,
        commands::explain::NAME => commands::explain::run(matches),
        commands::instance::NAME => commands::instance::run(matches).await,
        commands::key::NAME => commands::key::run(matches),
        commands::status::NAME => commands::status::run(matches).await,
        commands::usage::NAME => commands::usage::run(matches).await,
        other => unreachable!("the signature has no command `{other}`"),
    }
}
