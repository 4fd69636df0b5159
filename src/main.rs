//! The command-line tool `cumincart` for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    cumincart_cli::main()
}
