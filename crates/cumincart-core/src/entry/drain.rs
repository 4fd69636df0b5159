//! The planned stop: out of the balancer, no new requests, running ones end, everything is given back.

use {
    super::{Board, Effect},
    cumincart_protocol::{
        refusal::{Refusal, RefusalCode},
        time::Instant,
    },
    std::time::Duration,
};

/// How long new requests are still taken after the instance has said that it is not ready, in milliseconds: the
/// time that a balancer may need to notice.
pub const GRACE_MS: u64 = 2_000;

/// How far a planned stop has got.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum DrainState {
    /// No stop was asked for.
    #[default]
    Serving,
    /// Not ready, but requests are still taken until then.
    Grace {
        /// The end of the grace period.
        until: Instant,
    },
    /// New requests are refused; running ones go on.
    Ending,
    /// Nothing runs; connections are being closed.
    Closing,
    /// The process may end.
    Stopped,
}

/// Whether the platform's balancer may send requests here.
pub fn is_ready(board: &Board, _now: Instant) -> bool {
    let catalogue = board.freshness.catalogue.as_ref();
    board.drain == DrainState::Serving
        && catalogue.revision.0 > 0
        && !catalogue.instances_out.contains(&board.settings.instance)
        && !catalogue.is_domain_out(&board.settings.domain)
}

/// Begins a planned stop.
pub fn begin(board: &mut Board, now: Instant, out: &mut Vec<Effect>) {
    if board.drain != DrainState::Serving {
        return;
    }
    board.drain = DrainState::Grace { until: now + Duration::from_millis(GRACE_MS) };
    out.push(Effect::Note("planned stop: not ready any more".into()));
}

/// Why a request that arrives now is not taken, if it isn't.
pub fn refusal(board: &Board) -> Option<Refusal> {
    match board.drain {
        DrainState::Serving | DrainState::Grace { .. } => None,
        _ => Some(Refusal::not_run(RefusalCode::OutOfService, "this instance is stopping")),
    }
}

/// Carries a planned stop forward.
pub fn advance(board: &mut Board, now: Instant, out: &mut Vec<Effect>) {
    match board.drain {
        DrainState::Serving | DrainState::Stopped => {}
        DrainState::Grace { until } if now < until => {}
        DrainState::Grace { .. } => board.drain = DrainState::Ending,
        DrainState::Ending if board.requests.is_empty() => close_all(board, out),
        DrainState::Ending => {}
        DrainState::Closing if board.pool.connections.is_empty() => stop(board, now, out),
        DrainState::Closing => {}
    }
}

fn close_all(board: &mut Board, out: &mut Vec<Effect>) {
    board.drain = DrainState::Closing;
    let connections: Vec<_> = board.pool.connections.iter().map(|connection| connection.id).collect();
    for connection in connections {
        board.pool.close(connection, out);
    }
}

fn stop(board: &mut Board, now: Instant, out: &mut Vec<Effect>) {
    board.drain = DrainState::Stopped;
    super::heartbeat::send(board, now, out);
    out.push(Effect::Stopped);
}
