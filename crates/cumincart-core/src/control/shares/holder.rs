//! The state of one entry instance in the ledger of shares.

use {
    crate::control::holder_key::HolderKey,
    cumincart_protocol::{
        heartbeat::{Share, ShareGrant, ShareReport, grant_term},
        name::{DomainName, OrganisationName},
        number::ControlTerm,
        sorted::{Keyed, SortedVec},
        time::Instant,
    },
};

/// One run (process incarnation) of an entry instance and the shares that it holds.
#[derive(Debug)]
pub struct Holder {
    /// The run.
    pub key: HolderKey,
    /// The instance's failure domain.
    pub domain: DomainName,
    /// Whether the instance is in service. Only then it gets a part of its failure domain's floor.
    pub in_service: bool,
    /// The holder's clock when it sent the last accepted heartbeat.
    pub last_asked_at: Option<Instant>,
    /// The leader's clock when that heartbeat arrived.
    pub last_heartbeat_at: Instant,
    /// Whether the holder has reported everything that it holds to this leader.
    pub has_reported_all: bool,
    /// The shares held, by organisation.
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
    pub fn new(key: HolderKey, domain: DomainName) -> Self {
        Self {
            key,
            domain,
            in_service: false,
            last_asked_at: None,
            last_heartbeat_at: Instant::ZERO,
            has_reported_all: false,
            holdings: SortedVec::new(),
        }
    }
}

/// The number of instances in service in a failure domain.
#[derive(Debug)]
pub struct DomainCount {
    /// The failure domain.
    pub domain: DomainName,
    /// The number of its instances in service.
    pub instances: u64,
}

impl Keyed for DomainCount {
    type Key = DomainName;

    fn key(&self) -> &DomainName {
        &self.domain
    }
}

/// A grant as recorded in the ledger.
#[derive(Debug, Clone, Copy, Default)]
pub struct Grant {
    /// The number of the grant; 0 if there is none.
    pub grant_number: u64,
    /// The granted share.
    pub share: Share,
    /// The full limit of the plan at the time of the grant, of which the share is a part.
    pub basis: Share,
    /// The tokens sent with the grant.
    pub tokens_milli: u64,
    /// The time until the reserve can provide a token, sent as a hint.
    pub next_token_ms: u64,
}

/// The fraction 1 in parts per billion.
pub const WHOLE_PPB: u64 = 1_000_000_000;

/// A share as a fraction of its basis, in parts per billion, rounded up. Holders scale their shares with the
/// plan in proportion to the basis. So when a plan is lowered, it is the sum of these fractions that must not
/// exceed 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fraction {
    /// The fraction of the rate.
    pub rate_ppb: u64,
    /// The fraction of the burst.
    pub burst_ppb: u64,
}

impl Grant {
    /// Returns the share as a fraction of its basis.
    pub fn fraction(&self) -> Fraction {
        Fraction {
            rate_ppb: fraction_ppb(self.share.rate_milli_per_s, self.basis.rate_milli_per_s),
            burst_ppb: fraction_ppb(self.share.burst_milli, self.basis.burst_milli),
        }
    }
}

fn fraction_ppb(share: u64, basis: u64) -> u64 {
    let scaled = (u128::from(share) * u128::from(WHOLE_PPB)).div_ceil(u128::from(basis.max(1)));
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

/// The share of one organisation's quota that one instance holds.
#[derive(Debug)]
pub struct Holding {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The grant that the holder reported as in force.
    pub confirmed: Grant,
    /// A grant that was sent but not confirmed; it may be in force.
    pub outstanding: Option<Grant>,
    /// A share of an earlier leader that the holder has reported, until the holder confirms that it is in force under
    /// this leader.
    pub reported: Option<Grant>,
    /// The demand that the holder reported.
    pub demand_milli_per_s: u64,
    /// The number of requests that wait for a token at the holder.
    pub waiting_requests: u64,
    /// The total of tokens that the holder has returned, as last reported.
    pub returned_milli: Option<u64>,
    /// The holder's demand above its part of the floor, as included in the quota's total.
    pub excess_demand_milli_per_s: u64,
}

impl Keyed for Holding {
    type Key = OrganisationName;

    fn key(&self) -> &OrganisationName {
        &self.organisation
    }
}

impl Holding {
    /// Returns an empty holding.
    pub fn new(organisation: OrganisationName) -> Self {
        Self {
            organisation,
            confirmed: Grant::default(),
            outstanding: None,
            reported: None,
            demand_milli_per_s: 0,
            waiting_requests: 0,
            returned_milli: None,
            excess_demand_milli_per_s: 0,
        }
    }

    /// Returns the maximum share that the holder may hold: for rate and burst, the higher one of the
    /// confirmed and the outstanding grant.
    pub fn max_share(&self) -> Share {
        let outstanding = self.outstanding.unwrap_or_default().share;
        Share {
            rate_milli_per_s: self.confirmed.share.rate_milli_per_s.max(outstanding.rate_milli_per_s),
            burst_milli: self.confirmed.share.burst_milli.max(outstanding.burst_milli),
        }
    }

    /// Returns the maximum fractions of the limit that the holder may hold.
    pub fn max_fraction(&self) -> Fraction {
        let confirmed = self.confirmed.fraction();
        let outstanding = self.outstanding.unwrap_or_default().fraction();
        Fraction {
            rate_ppb: confirmed.rate_ppb.max(outstanding.rate_ppb),
            burst_ppb: confirmed.burst_ppb.max(outstanding.burst_ppb),
        }
    }

    /// Returns whether the holder has requests of this organisation.
    pub fn has_demand(&self) -> bool {
        self.demand_milli_per_s > 0 || self.waiting_requests > 0
    }

    /// Returns the number of tokens in the outstanding grant that count against the reserve's capacity: those beyond the
    /// burst that the grant adds, in which the holder has room for them.
    pub fn tokens_in_flight_milli(&self) -> u64 {
        let outstanding = self.outstanding.unwrap_or_default();
        let raised_milli = outstanding.share.burst_milli.saturating_sub(self.confirmed.share.burst_milli);
        outstanding.tokens_milli.saturating_sub(raised_milli)
    }

    /// Applies a report. If it names a grant that this ledger has no record of, the share that it reports is
    /// recorded only if `trusted`; otherwise the holder counts as holding nothing. Returns an earlier leader's share that
    /// the holder now confirms under this one.
    pub fn apply_report(&mut self, report: &ShareReport, trusted: bool) -> Option<Grant> {
        self.demand_milli_per_s = report.demand_milli_per_s;
        self.waiting_requests = u64::from(report.waiting);
        if let Some(outstanding) = self.outstanding.filter(|sent| sent.grant_number == report.grant_number) {
            self.confirmed = outstanding;
            self.outstanding = None;
            return self.reported.take();
        }
        if report.grant_number == self.confirmed.grant_number {
            return None;
        }
        self.outstanding = None;
        self.reported = None;
        self.confirmed = Grant { grant_number: report.grant_number, ..Grant::default() };
        if trusted {
            self.confirmed.share = report.held;
            self.confirmed.basis = report.basis;
            self.reported = Some(self.confirmed);
        }
        None
    }

    /// Returns a grant that reissues a share granted by an earlier leader under this leader's term; none if
    /// there is no such share.
    pub fn reissued_grant(&self, control_term: ControlTerm) -> Option<Grant> {
        let number = self.confirmed.grant_number;
        if number == 0 || grant_term(number) == control_term {
            return None;
        }
        Some(Grant { share: self.confirmed.share, basis: self.confirmed.basis, ..Grant::default() })
    }

    /// Returns the grant to include in an answer: the outstanding one, which is repeated until it is
    /// confirmed.
    pub fn grant_to_send(&self) -> Option<ShareGrant> {
        let outstanding = self.outstanding?;
        Some(ShareGrant {
            organisation: self.organisation.clone(),
            grant_number: outstanding.grant_number,
            replaces: self.confirmed.grant_number,
            share: outstanding.share,
            basis: outstanding.basis,
            tokens_milli: outstanding.tokens_milli,
            next_token_ms: outstanding.next_token_ms,
        })
    }
}
