//! The program `cumincart-entry`: reads the settings, starts the daemon and waits for a signal.

use {
    crate::{daemon, options},
    clap::{Arg, Command, value_parser},
    cumincart_config::read_entry_settings,
    cumincart_runtime::signal,
    miette::{IntoDiagnostic, Result},
    std::path::PathBuf,
};

fn command() -> Command {
    Command::new("cumincart-entry")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serves callers: routes their requests to endpoints within the rates of their plans")
        .arg(
            Arg::new("settings")
                .help("The instance's settings, JSON with comments")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
}

/// The number of threads that serve callers, links and connections. Entry instances are small, and each additional
/// thread adds wake-ups to every request.
const WORKER_THREADS: usize = 2;

/// Runs the program until a signal requests a stop.
pub fn run() -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .into_diagnostic()?;
    runtime.block_on(serve())
}

async fn serve() -> Result<()> {
    let matches = command().get_matches();
    let path: &PathBuf = matches.get_one("settings").expect("the argument is required");
    let settings = read_entry_settings(path)?;
    let handle = daemon::spawn(options::open(&settings)?).await?;
    println!("http {}", handle.http_address);
    println!("peer {}", handle.peer_address);
    signal::stop_requested().await.into_diagnostic()?;
    handle.stop().await;
    Ok(())
}
