//! The state of one entry instance in the ledger of permits.

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

/// One run (process incarnation) of an entry instance and the permits that it holds.
#[derive(Debug)]
pub struct Holder {
    /// The run.
    pub key: HolderKey,
    /// The instance's failure domain.
    pub domain: DomainName,
    /// Whether the run holds a freshness lease.
    pub has_lease: bool,
    /// The holder's clock when it sent the last accepted heartbeat.
    pub last_asked_at: Option<Instant>,
    /// The leader's clock when that heartbeat arrived.
    pub last_heartbeat_at: Instant,
    /// The permits held, by endpoint.
    pub holdings: SortedVec<Holding>,
}

impl Keyed for Holder {
    type Key = HolderKey;

    fn key(&self) -> &HolderKey {
        &self.key
    }
}

impl Holder {
    /// Returns the initial state of a run that has sent no heartbeat yet.
    pub fn new(key: HolderKey, domain: DomainName, now: Instant) -> Self {
        Self {
            key,
            domain,
            has_lease: false,
            last_asked_at: None,
            last_heartbeat_at: now,
            holdings: SortedVec::new(),
        }
    }
}

/// A grant as recorded in the ledger.
#[derive(Debug, Clone, Copy, Default)]
pub struct Grant {
    /// The number of the grant; 0 if there is none.
    pub grant_number: u64,
    /// The number of permits, kept ones included.
    pub permits: u32,
    /// The number of kept permits, which stay valid without a freshness lease.
    pub kept: u32,
}

impl Grant {
    /// Returns the number of leased permits, which end with the freshness lease.
    pub fn leased(&self) -> u32 {
        self.permits - self.kept
    }
}

/// The permits that one instance holds for one endpoint.
#[derive(Debug)]
pub struct Holding {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The grant that the holder reported as in force.
    pub confirmed: Grant,
    /// A grant that was sent but not confirmed; it may be in force.
    pub outstanding: Option<Grant>,
    /// The number of connections beyond the first that the holder has recently wanted. Rises at once with a
    /// higher report and decays slowly after a lower one.
    pub extra_demand: u32,
    /// The number of connections beyond the first that the holder wants, as last reported.
    reported_extra_demand: u32,
    /// Whether the holder wants any connections.
    pub has_demand: bool,
    /// The number of connections that the holder may still have open, as last reported.
    reported_held: u32,
    /// The number of kept permits, as last reported.
    reported_kept: u32,
}

impl Keyed for Holding {
    type Key = EndpointName;

    fn key(&self) -> &EndpointName {
        &self.endpoint
    }
}

impl Holding {
    /// Returns an empty holding.
    pub fn new(endpoint: EndpointName) -> Self {
        Self {
            endpoint,
            confirmed: Grant::default(),
            outstanding: None,
            extra_demand: 0,
            reported_extra_demand: 0,
            has_demand: false,
            reported_held: 0,
            reported_kept: 0,
        }
    }

    /// Returns the maximum number of kept permits that the holder may hold.
    pub fn max_kept(&self) -> u32 {
        let outstanding = self.outstanding.unwrap_or_default();
        self.confirmed.kept.max(outstanding.kept).max(self.reported_kept)
    }

    /// Returns the maximum number of connections that the holder may have in addition to its kept permits.
    pub fn max_leased(&self) -> u32 {
        let outstanding = self.outstanding.unwrap_or_default();
        let open = self.reported_held.saturating_sub(self.reported_kept);
        self.confirmed.leased().max(outstanding.leased()).max(open)
    }

    /// Applies a report. If it names a grant that this ledger has no record of, only the reported kept
    /// permits are recorded. An exception is a grant of an earlier leader while this one is `recovering`: it
    /// is recorded in full.
    pub fn apply_report(&mut self, report: &PermitReport, recovering: bool, control_term: ControlTerm) {
        self.reported_held = report.held;
        self.reported_kept = report.kept;
        self.reported_extra_demand = report.wanted.saturating_sub(1);
        self.has_demand = report.wanted > 0;
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
        self.confirmed = Grant { grant_number: report.grant_number, permits, kept: report.kept };
    }

    /// Lowers the recent extra demand by an eighth, but not below the last reported one.
    pub fn decay_extra_demand(&mut self) {
        self.extra_demand = self.reported_extra_demand.max(self.extra_demand * 7 / 8);
    }

    /// Releases the leased permits, and also the kept permits unless `kept_valid`.
    pub fn expire(&mut self, kept_valid: bool) {
        let kept = if kept_valid { self.max_kept() } else { 0 };
        self.confirmed = Grant { grant_number: self.confirmed.grant_number, permits: kept, kept };
        self.outstanding = None;
        self.extra_demand = 0;
        self.reported_extra_demand = 0;
        self.has_demand = false;
        self.reported_held = kept;
        self.reported_kept = kept;
    }

    /// Returns a grant that reissues permits granted by an earlier leader under this leader's term; none if
    /// there are no such permits.
    pub fn reissued_grant(&self, control_term: ControlTerm) -> Option<Grant> {
        let number = self.confirmed.grant_number;
        if number == 0 || grant_term(number) == control_term {
            return None;
        }
        Some(Grant { permits: self.confirmed.permits, kept: self.confirmed.kept, ..Grant::default() })
    }

    /// Returns the grant to include in an answer: the outstanding one, which is repeated until it is
    /// confirmed.
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
