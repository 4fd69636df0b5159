//! What the ledger knows of one entry instance's permits.

use {
    crate::control::holder_key::HolderKey,
    cumincart_protocol::{
        heartbeat::{PermitGrant, PermitReport, grant_term},
        name::{DomainName, EndpointName},
        number::ControlTerm,
        sorted::{Keyed, SortedVec},
        time::Instant,
    },
};

/// One run of an entry instance and what it holds.
#[derive(Debug)]
pub struct Holder {
    /// The run.
    pub key: HolderKey,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it holds a lease.
    pub active: bool,
    /// The holder's clock in the last heartbeat taken.
    pub last_asked_at: Option<Instant>,
    /// The leader's clock when that came.
    pub heard_at: Instant,
    /// One element for each endpoint.
    pub holdings: SortedVec<Holding>,
}

impl Keyed for Holder {
    type Key = HolderKey;

    fn key(&self) -> &HolderKey {
        &self.key
    }
}

impl Holder {
    /// A run that has not been heard of before.
    pub fn new(key: HolderKey, domain: DomainName, now: Instant) -> Self {
        Self { key, domain, active: false, last_asked_at: None, heard_at: now, holdings: SortedVec::new() }
    }
}

/// A grant as the ledger keeps it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Granted {
    /// Its number; 0 for none.
    pub grant_number: u64,
    /// All permits.
    pub permits: u32,
    /// Those that are kept without a lease.
    pub kept: u32,
}

impl Granted {
    /// Those that end with the lease.
    pub fn leased(&self) -> u32 {
        self.permits - self.kept
    }
}

/// What one instance holds of one endpoint's connections.
#[derive(Debug)]
pub struct Holding {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The grant that the holder reported to be in force.
    pub confirmed: Granted,
    /// A grant that was sent and may be in force.
    pub outstanding: Option<Granted>,
    /// Connections that the holder wanted lately, less one; falls slowly behind what it wants now.
    pub wanted: u32,
    /// Connections that the holder wants now, less one.
    wanted_now: u32,
    /// Whether the holder wants any.
    pub wants: bool,
    /// Connections that the holder reported, with those that it has yet to close.
    reported: u32,
    /// Permits that the holder reported to keep.
    reported_kept: u32,
}

impl Keyed for Holding {
    type Key = EndpointName;

    fn key(&self) -> &EndpointName {
        &self.endpoint
    }
}

impl Holding {
    /// A holding of nothing.
    pub fn new(endpoint: EndpointName) -> Self {
        Self {
            endpoint,
            confirmed: Granted::default(),
            outstanding: None,
            wanted: 0,
            wanted_now: 0,
            wants: false,
            reported: 0,
            reported_kept: 0,
        }
    }

    /// The most that the holder may keep without a lease.
    pub fn kept(&self) -> u32 {
        let outstanding = self.outstanding.unwrap_or_default();
        self.confirmed.kept.max(outstanding.kept).max(self.reported_kept)
    }

    /// The most that the holder may have open beyond what it keeps.
    pub fn leased(&self) -> u32 {
        let outstanding = self.outstanding.unwrap_or_default();
        let open = self.reported.saturating_sub(self.reported_kept);
        self.confirmed.leased().max(outstanding.leased()).max(open)
    }

    /// Takes a report. A grant of an earlier leader counts while this one recovers.
    pub fn take_report(&mut self, report: &PermitReport, recovering: bool, control_term: ControlTerm) {
        self.reported = report.held;
        self.reported_kept = report.kept;
        self.wanted_now = report.wanted.saturating_sub(1);
        self.wants = report.wanted > 0;
        if let Some(sent) = self.outstanding.filter(|sent| sent.grant_number == report.grant_number) {
            self.confirmed = sent;
            self.outstanding = None;
            return;
        }
        if report.grant_number == self.confirmed.grant_number {
            return;
        }
        let trusted = recovering && grant_term(report.grant_number) < control_term;
        let permits = if trusted { report.held.max(report.kept) } else { report.kept };
        self.outstanding = None;
        self.confirmed = Granted { grant_number: report.grant_number, permits, kept: report.kept };
    }

    /// Lets what was wanted lately fall by an eighth, down to what is wanted now.
    pub fn settle_wanted(&mut self) {
        self.wanted = self.wanted_now.max(self.wanted * 7 / 8);
    }

    /// Drops what was leased, and what was kept unless the holder `keeps` it still.
    pub fn expire(&mut self, keeps: bool) {
        let kept = if keeps { self.kept() } else { 0 };
        self.confirmed = Granted { grant_number: self.confirmed.grant_number, permits: kept, kept };
        self.outstanding = None;
        self.wanted = 0;
        self.wanted_now = 0;
        self.wants = false;
        self.reported = kept;
        self.reported_kept = kept;
    }

    /// What confirms permits of an earlier leader as this leader's own grant.
    pub fn confirmation(&self, control_term: ControlTerm) -> Option<Granted> {
        let number = self.confirmed.grant_number;
        if number == 0 || grant_term(number) == control_term {
            return None;
        }
        Some(Granted { permits: self.confirmed.permits, kept: self.confirmed.kept, ..Granted::default() })
    }

    /// The grant to put into an answer: the outstanding one, until it is confirmed.
    pub fn grant_to_send(&self) -> Option<PermitGrant> {
        let sent = self.outstanding?;
        Some(PermitGrant {
            endpoint: self.endpoint.clone(),
            grant_number: sent.grant_number,
            replaces: self.confirmed.grant_number,
            permits: sent.permits,
            kept: sent.kept,
        })
    }
}
