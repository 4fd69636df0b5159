//! What the ledger knows of one entry instance.

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

/// One run of an entry instance and what it holds.
#[derive(Debug)]
pub struct Holder {
    /// The run.
    pub key: HolderKey,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it is in service and counts for the parts of failure domains.
    pub active: bool,
    /// The holder's clock in the last heartbeat taken.
    pub last_asked_at: Option<Instant>,
    /// The leader's clock when that came.
    pub heard_at: Instant,
    /// One element for each organisation.
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
    pub fn new(key: HolderKey, domain: DomainName) -> Self {
        Self {
            key,
            domain,
            active: false,
            last_asked_at: None,
            heard_at: Instant::ZERO,
            holdings: SortedVec::new(),
        }
    }
}

/// How many instances of a failure domain are in service.
#[derive(Debug)]
pub struct DomainCount {
    /// The failure domain.
    pub domain: DomainName,
    /// Its instances in service.
    pub instances: u64,
}

impl Keyed for DomainCount {
    type Key = DomainName;

    fn key(&self) -> &DomainName {
        &self.domain
    }
}

/// A grant as the ledger keeps it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Granted {
    /// Its number; 0 for none.
    pub grant_number: u64,
    /// The share.
    pub share: Share,
    /// The whole limit that the share is a part of.
    pub basis: Share,
    /// Tokens sent with it.
    pub tokens_milli: u64,
    /// The hint when the reserve can have a token.
    pub next_token_ms: u64,
}

/// A whole, in the unit of a fraction.
pub const WHOLE_PPB: u64 = 1_000_000_000;

/// The fraction that a share is of its basis, in billionths, rounded up. Holders shrink shares with the plan in
/// proportion to their bases, so it is the sum of these that must stay below a whole when a plan is lowered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fraction {
    /// Of the rate.
    pub rate_ppb: u64,
    /// Of the burst.
    pub burst_ppb: u64,
}

impl Granted {
    /// The fraction that the share is of its basis.
    pub fn fraction(&self) -> Fraction {
        Fraction {
            rate_ppb: ppb(self.share.rate_milli_per_s, self.basis.rate_milli_per_s),
            burst_ppb: ppb(self.share.burst_milli, self.basis.burst_milli),
        }
    }
}

fn ppb(share: u64, basis: u64) -> u64 {
    let scaled = (u128::from(share) * u128::from(WHOLE_PPB)).div_ceil(u128::from(basis.max(1)));
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

/// What one instance holds of one organisation's rate.
#[derive(Debug)]
pub struct Holding {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The grant that the holder reported to be in force.
    pub confirmed: Granted,
    /// A grant that was sent and may be in force.
    pub outstanding: Option<Granted>,
    /// The demand that the holder reported.
    pub demand_milli_per_s: u64,
    /// Requests that wait for a token at the holder.
    pub waiting: u64,
    /// Tokens that the holder has returned in all, as last reported.
    pub returned_milli: Option<u64>,
    /// Demand beyond the holder's part of its failure domain's floor, as counted in the account.
    pub excess_milli_per_s: u64,
}

impl Keyed for Holding {
    type Key = OrganisationName;

    fn key(&self) -> &OrganisationName {
        &self.organisation
    }
}

impl Holding {
    /// A holding of nothing.
    pub fn new(organisation: OrganisationName) -> Self {
        Self {
            organisation,
            confirmed: Granted::default(),
            outstanding: None,
            demand_milli_per_s: 0,
            waiting: 0,
            returned_milli: None,
            excess_milli_per_s: 0,
        }
    }

    /// The most that the holder may hold: each part the greater of what it confirmed and what is on its way.
    pub fn counted(&self) -> Share {
        let outstanding = self.outstanding.unwrap_or_default().share;
        Share {
            rate_milli_per_s: self.confirmed.share.rate_milli_per_s.max(outstanding.rate_milli_per_s),
            burst_milli: self.confirmed.share.burst_milli.max(outstanding.burst_milli),
        }
    }

    /// The greatest fractions that the holder may hold.
    pub fn counted_fraction(&self) -> Fraction {
        let confirmed = self.confirmed.fraction();
        let outstanding = self.outstanding.unwrap_or_default().fraction();
        Fraction {
            rate_ppb: confirmed.rate_ppb.max(outstanding.rate_ppb),
            burst_ppb: confirmed.burst_ppb.max(outstanding.burst_ppb),
        }
    }

    /// Whether the holder has requests for this organisation.
    pub fn has_demand(&self) -> bool {
        self.demand_milli_per_s > 0 || self.waiting > 0
    }

    /// Tokens that are on their way.
    pub fn tokens_in_flight_milli(&self) -> u64 {
        self.outstanding.unwrap_or_default().tokens_milli
    }

    /// Takes a report. Where it names a grant that this ledger did not give, what it says to hold counts if `trusted`.
    pub fn take_report(&mut self, report: &ShareReport, trusted: bool) {
        self.demand_milli_per_s = report.demand_milli_per_s;
        self.waiting = u64::from(report.waiting);
        if let Some(outstanding) = self.outstanding.filter(|sent| sent.grant_number == report.grant_number) {
            self.confirmed = outstanding;
            self.outstanding = None;
            return;
        }
        if report.grant_number == self.confirmed.grant_number {
            return;
        }
        self.outstanding = None;
        self.confirmed = Granted { grant_number: report.grant_number, ..Granted::default() };
        if trusted {
            self.confirmed.share = report.held;
            self.confirmed.basis = report.basis;
        }
    }

    /// What confirms a share of an earlier leader as this leader's own grant.
    pub fn confirmation(&self, control_term: ControlTerm) -> Option<Granted> {
        let number = self.confirmed.grant_number;
        if number == 0 || grant_term(number) == control_term {
            return None;
        }
        Some(Granted { share: self.confirmed.share, basis: self.confirmed.basis, ..Granted::default() })
    }

    /// The grant to put into an answer: the outstanding one, until it is confirmed.
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
