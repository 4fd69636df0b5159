//! The operators' command `cumincart`.

use std::process::ExitCode;

fn main() -> ExitCode {
    cumincart_cli::main()
}
