//! The signals that ask a process for a planned stop.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that say that the settings have changed.
pub fn reload_signals() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Waits for an interrupt or a termination signal.
pub async fn stop_requested() -> std::io::Result<()> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
