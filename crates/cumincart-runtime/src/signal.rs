//! Unix signals: planned stop and reload of the settings.

use {
    std::io,
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// The streams of the signals that an instance handles. They are opened once and before anything else: a signal that
/// comes while no stream is open ends the process, or is lost if one was open before.
#[derive(Debug)]
pub struct Signals {
    hangup: Signal,
    interrupt: Signal,
    terminate: Signal,
}

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Request {
    /// Read the settings again.
    Reload,
    /// Stop as planned.
    Stop,
}

impl Signals {
    /// Opens the streams.
    pub fn open() -> io::Result<Self> {
        Ok(Self {
            hangup: signal(SignalKind::hangup())?,
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }

    /// Waits for the next signal. Cancelling it loses none.
    pub async fn next(&mut self) -> Request {
        tokio::select! {
            biased;
            _ = self.interrupt.recv() => Request::Stop,
            _ = self.terminate.recv() => Request::Stop,
            _ = self.hangup.recv() => Request::Reload,
        }
    }
}

/// Waits for an interrupt or a termination signal, for programs that read no settings again. A hangup ends them, as usual.
pub async fn stop_requested() -> io::Result<()> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
