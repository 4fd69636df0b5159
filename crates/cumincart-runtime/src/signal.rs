//! Unix signals: planned stop and reload of the settings.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Returns the stream of hangup signals, which request a reload of the settings.
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
