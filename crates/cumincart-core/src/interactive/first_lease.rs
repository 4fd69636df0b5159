//! Sessions that arrive before an instance holds its first lease.
//!
//! After a stop of everything, clients reconnect as soon as the entry instances listen, some tenths of a second before
//! the control instances have elected a leader. Refused at once, they use up their attempts before service is back. So
//! an instance that has just started lets them wait for its first lease; an instance that has lost contact later, or has
//! found no leader for longer, refuses at once.

use {cumincart_protocol::time::Instant, std::time::Duration};

/// How long after its start an instance expects its first lease, in milliseconds: an election, whose timeout may have to
/// pass once, and a few round trips between regions.
pub const FIRST_LEASE_EXPECTED_MS: u64 = 1_500;

/// The maximum number of sessions that wait, which bounds the burst of statements when the lease comes.
pub const WAITING_SESSIONS_MAX: usize = 256;

/// The sessions that wait for the first lease.
#[derive(Debug)]
pub struct FirstLease {
    expected_until: Instant,
    waiting: usize,
}

impl FirstLease {
    /// Returns the state of an instance that started at this instant.
    pub fn open(started_at: Instant) -> Self {
        Self { expected_until: started_at + Duration::from_millis(FIRST_LEASE_EXPECTED_MS), waiting: 0 }
    }

    /// Admits a session to the wait and returns when it ends at the latest. Returns `None` if the session must be refused
    /// at once. [`FirstLease::leave`] must follow an admission.
    pub fn admit(&mut self, now: Instant, has_held_lease: bool) -> Option<Instant> {
        if has_held_lease || now >= self.expected_until || self.waiting >= WAITING_SESSIONS_MAX {
            return None;
        }
        self.waiting += 1;
        Some(self.expected_until)
    }

    /// Ends the wait of one session.
    pub fn leave(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }
}
