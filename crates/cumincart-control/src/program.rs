//! The program `cumincart-control`: reads the settings, starts the daemon and waits for a signal.

use {
    crate::{daemon, options},
    clap::{Arg, Command, value_parser},
    cumincart_config::read_control_settings,
    cumincart_runtime::signal,
    miette::{IntoDiagnostic, Result, miette},
    std::path::PathBuf,
};

fn command() -> Command {
    Command::new("cumincart-control")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Keeps the replicated lists, terms and leases; serves operators and endpoints' announcements")
        .arg(
            Arg::new("settings")
                .help("The instance's settings, JSON with comments")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
}

/// Runs the program until a signal requests a stop.
#[tokio::main]
pub async fn run() -> Result<()> {
    let matches = command().get_matches();
    let path: &PathBuf = matches.get_one("settings").expect("the argument is required");
    let settings = read_control_settings(path)?;
    let handle = daemon::spawn(options::open(&settings)?).await?;
    println!("http {}", handle.http_address);
    println!("peer {}", handle.peer_address);
    tokio::select! {
        requested = signal::stop_requested() => requested.into_diagnostic()?,
        () = handle.engine.ended() => return Err(miette!("the engine ended; see the log for the reason")),
    }
    handle.stop().await;
    Ok(())
}
