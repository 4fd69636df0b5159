//! Decides when a change of the catalogue is sent to the holders of leases without waiting for their next heartbeat.
//!
//! A change that a fence waits for, or that operators made, is sent at once. While endpoints register, as after a start
//! of everything, changes come by the dozen; they are collected for a moment, so that each holder gets a few updates
//! instead of one for each change. Records that change nothing for entry instances travel with the next heartbeat.

use {
    cumincart_protocol::{
        heartbeat::CatalogueChange,
        number::{Revision, Term},
        replication::Command,
        time::Instant,
    },
    std::time::Duration,
};

/// How long changes of endpoints are collected before they are sent, in milliseconds. It is short beside the time for
/// which an endpoint serves on after it has announced its departure.
pub const COLLECT_MS: u64 = 200;

/// How soon holders must learn of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// With their next heartbeat.
    NextHeartbeat,
    /// Within [`COLLECT_MS`].
    Soon,
    /// At once.
    Now,
}

/// The changes that are due to be sent.
#[derive(Debug, Default)]
pub struct Pushes {
    /// The last revision that is sent at once.
    urgent: Revision,
    /// The last revision that is sent by `due_at`.
    collected: Revision,
    due_at: Option<Instant>,
}

impl Pushes {
    /// Records a change that was applied.
    pub fn record(&mut self, now: Instant, revision: Revision, urgency: Urgency) {
        match urgency {
            Urgency::NextHeartbeat => {}
            Urgency::Soon => {
                self.collected = revision;
                self.due_at.get_or_insert(now + Duration::from_millis(COLLECT_MS));
            }
            Urgency::Now => self.urgent = revision,
        }
    }

    /// Requires that all holders confirm a revision, because a fence waits for it.
    pub fn require(&mut self, revision: Revision) {
        self.urgent = self.urgent.max(revision);
    }

    /// Returns the revision that holders must have been sent by now.
    pub fn due(&mut self, now: Instant) -> Revision {
        if self.due_at.is_some_and(|due_at| due_at <= now) {
            self.due_at = None;
            self.urgent = self.urgent.max(self.collected);
        }
        self.urgent
    }
}

/// Returns how soon holders must learn of a change. No holder can act on a group before its first term opens, so nothing
/// waits for that term.
pub fn urgency(command: &Command, change: &CatalogueChange) -> Urgency {
    if matches!(change, CatalogueChange::Nothing) {
        return Urgency::NextHeartbeat;
    }
    let first_term = Term::default().next();
    match command {
        Command::PutEndpoint(..) | Command::RemoveEndpoint(..) => Urgency::Soon,
        Command::BeginTerm { term, .. } | Command::OpenTerm { term, .. } if *term <= first_term => {
            Urgency::Soon
        }
        _ => Urgency::Now,
    }
}
