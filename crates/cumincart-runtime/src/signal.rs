//! The signals that ask a process for a planned stop.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for an interrupt or a termination signal.
pub async fn stop_asked() -> std::io::Result<()> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
