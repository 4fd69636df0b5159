//! Heartbeats of entry instances to the control leader, and the leases that answer them.
//!
//! One exchange carries everything that control costs an entry instance: the freshness lease, changes of the
//! catalogue, shares of rates, permits for connections and reports on endpoints. Fields have short names in the
//! encoding, since these messages come a few times a second from every entry instance.

use {
    crate::{
        catalogue::{Catalogue, Group},
        instances::InstancesUpdate,
        lists::{Lists, Plan},
        name::{DomainName, EndpointName, InstanceName, OrganisationName},
        number::{ControlTerm, Incarnation, ListsRevision, Revision},
        patch::ListsPatch,
        sorted::{Keyed, SortedVec},
        time::Instant,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

fn is_false(value: &bool) -> bool {
    !*value
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

fn is_zero_u32(value: &u32) -> bool {
    *value == 0
}

/// What an entry instance tells the control leader, a few times a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    #[serde(rename = "i")]
    pub instance: InstanceName,
    /// The sender's run.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// The sender's failure domain.
    #[serde(rename = "d")]
    pub domain: DomainName,
    /// The address at which other entry instances reach it, as `ip:port`.
    #[serde(rename = "a")]
    pub peer_address: Arc<str>,
    /// The sender's clock when it asked; comes back in the answer.
    #[serde(rename = "t")]
    pub asked_at: Instant,
    /// The catalogue revision that is in force at the sender.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// Whether the sender is stopping and gives back all that it holds.
    #[serde(rename = "l")]
    pub leaving: bool,
    /// Whether the sender tells all that it holds, and not only what has changed.
    #[serde(rename = "c", default, skip_serializing_if = "is_false")]
    pub complete: bool,
    /// The digest of the list of entry instances that the sender holds; see [`crate::instances::digest`].
    #[serde(rename = "g", default, skip_serializing_if = "is_zero")]
    pub instances_digest: u64,
    /// What the sender saw of endpoints since its last heartbeat; only the ones with news.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub endpoints: Vec<EndpointReport>,
    /// What the sender holds and needs of organisations' rates; only the ones with traffic or holdings. One that is
    /// absent is as it was told last, unless the leader has not been told before.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub shares: Vec<ShareReport>,
    /// What the sender holds and needs of endpoints' connections; absent where it is as it was told last.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub permits: Vec<PermitReport>,
}

/// What an entry instance saw of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Whether its last attempt to reach the endpoint succeeded.
    pub reachable: bool,
    /// For how long that has been so.
    pub since_ms: u64,
}

/// A part of an organisation's rate and burst.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Thousandths of a request a second.
    #[serde(rename = "r")]
    pub rate_milli_per_s: u64,
    /// Thousandths of a request: the bucket's capacity.
    #[serde(rename = "b")]
    pub burst_milli: u64,
}

/// The bits of a grant number below the leader's election term.
const GRANT_COUNTER_BITS: u32 = 32;

/// The grant number that comes before all grants of a leader's election term.
pub const fn first_grant_number(control_term: ControlTerm) -> u64 {
    control_term.0 << GRANT_COUNTER_BITS
}

/// The election term of the leader that gave a grant.
pub const fn grant_term(grant_number: u64) -> ControlTerm {
    ControlTerm(grant_number >> GRANT_COUNTER_BITS)
}

/// The greatest rate that is told apart from a greater one, in thousandths of a request a second.
const MAX_RATE_MILLI_PER_S: f64 = 1e12;

impl Share {
    /// The whole of what a plan allows one organisation.
    pub fn of_plan(plan: &Plan) -> Self {
        let rate_milli_per_s = (plan.rate_per_s * 1_000.0).clamp(0.0, MAX_RATE_MILLI_PER_S).floor() as u64;
        Self { rate_milli_per_s, burst_milli: u64::from(plan.burst) * 1_000 }
    }

    /// Whether each of so many holders can have a useful part: one token a second and a burst of two.
    pub fn is_divisible_among(&self, holders: u64) -> bool {
        let holders_milli = holders.max(1) * 1_000;
        self.rate_milli_per_s >= holders_milli && self.burst_milli >= 2 * holders_milli
    }
}

/// What an entry instance holds and needs of one organisation's rate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareReport {
    /// The organisation.
    #[serde(rename = "o")]
    pub organisation: OrganisationName,
    /// The number of the last grant that is in force at the sender; older ones can't come back.
    #[serde(rename = "n")]
    pub grant_number: u64,
    /// The share that the sender holds, as it was granted.
    #[serde(rename = "h")]
    pub held: Share,
    /// The whole limit that the share is a part of, as it was granted.
    #[serde(rename = "b")]
    pub basis: Share,
    /// Requests that arrived in the last second or so, admitted or not, in thousandths a second.
    #[serde(rename = "d")]
    pub demand_milli_per_s: u64,
    /// Requests that are waiting for a token now.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero_u32")]
    pub waiting: u32,
    /// Thousandths of tokens that the sender has given back since its run began; it has taken them out of its bucket.
    /// A running total, so that a lost or doubled heartbeat neither loses nor doubles them.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    pub returned_milli: u64,
}

/// A share that the control leader grants, in place of the one named by `replaces` and of no other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The organisation.
    #[serde(rename = "o")]
    pub organisation: OrganisationName,
    /// Grows with every grant to this instance for this organisation; the leader's election term is its upper half.
    #[serde(rename = "n")]
    pub grant_number: u64,
    /// The number of the grant that must be in force at the holder for this one to apply; 0 where none is.
    #[serde(rename = "p")]
    pub replaces: u64,
    /// The share.
    #[serde(rename = "s")]
    pub share: Share,
    /// The whole limit that the share is a part of. Where the lists in force at the holder allow less, the share and
    /// the tokens shrink in proportion.
    #[serde(rename = "b")]
    pub basis: Share,
    /// Thousandths of tokens that come with it, out of what was returned or kept in reserve.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    pub tokens_milli: u64,
    /// The time after which the leader's reserve can hold a token for requests that wait; 0 where none wait.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub next_token_ms: u64,
}

/// What an entry instance holds and needs of one endpoint's connections.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReport {
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: EndpointName,
    /// The number of the last grant that is in force at the sender.
    #[serde(rename = "n")]
    pub grant_number: u64,
    /// Connections that the sender may still have open: the greater of its permits and its connections.
    #[serde(rename = "h")]
    pub held: u32,
    /// Those of its permits that it keeps for a while without a lease.
    #[serde(rename = "k")]
    pub kept: u32,
    /// Connections that it could use.
    #[serde(rename = "w")]
    pub wanted: u32,
}

/// How many connections an instance may hold to an endpoint, in place of the grant named by `replaces` and no other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: EndpointName,
    /// Grows with every grant to this instance for this endpoint; the leader's election term is its upper half.
    #[serde(rename = "n")]
    pub grant_number: u64,
    /// The number of the grant that must be in force at the holder for this one to apply; 0 where none is.
    #[serde(rename = "p")]
    pub replaces: u64,
    /// The number of connections.
    #[serde(rename = "c")]
    pub permits: u32,
    /// Those of them that the holder keeps when its lease has run out, for requests on open routes.
    #[serde(rename = "k")]
    pub kept: u32,
}

/// The leader's answer to a heartbeat: a lease and what has changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatAnswer {
    /// The holder's clock when it asked; every lease in this answer counts from here.
    #[serde(rename = "t")]
    pub asked_at: Instant,
    /// The run that asked; an answer to an earlier run is dropped.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// The leader's election term.
    #[serde(rename = "c")]
    pub control_term: ControlTerm,
    /// The revision that a quorum confirmed as current after the question came.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// How long the holder may act on `revision` as current: terms, service state.
    #[serde(rename = "l")]
    pub term_lease_ms: u64,
    /// How long the holder may act on keys, plans, shares and permits of `revision`.
    #[serde(rename = "f")]
    pub freshness_lease_ms: u64,
    /// What brings the holder from its revision to `revision`.
    #[serde(rename = "u")]
    pub update: CatalogueUpdate,
    /// Shares that change.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub shares: Vec<ShareGrant>,
    /// Permits that change.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub permits: Vec<PermitGrant>,
    /// What brings the holder's list of entry instances forward; none where it is current.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub instances: Option<InstancesUpdate>,
    /// The control instances' peer addresses, as `ip:port`, where the list changed.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub control_addresses: Option<Vec<Arc<str>>>,
}

/// An entry instance that holds a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Its name.
    pub name: InstanceName,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainName,
    /// The address for other entry instances.
    pub peer_address: Arc<str>,
}

impl Keyed for InstanceEntry {
    type Key = InstanceName;

    fn key(&self) -> &InstanceName {
        &self.name
    }
}

/// Brings a catalogue forward.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CatalogueUpdate {
    /// The holder is at the current revision.
    None,
    /// Changes to apply in order, from the holder's revision on.
    Deltas(Vec<CatalogueDelta>),
    /// The whole catalogue, where the gap is too long.
    Snapshot(Arc<Catalogue>),
}

/// One step from a catalogue revision to a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CatalogueDelta {
    /// The revision that it starts from.
    pub from: Revision,
    /// The revision that it leads to.
    pub to: Revision,
    /// What changes.
    pub change: CatalogueChange,
}

/// What one log record changes in a catalogue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CatalogueChange {
    /// Nothing that entry instances see.
    Nothing,
    /// Both lists.
    Lists(ListsRevision, Arc<Lists>),
    /// What differs in the lists since the revision before.
    ListsPatch(ListsRevision, Arc<ListsPatch>),
    /// Which failure domains are out.
    DomainsOut(SortedVec<DomainName>),
    /// Which instances are out.
    InstancesOut(SortedVec<InstanceName>),
    /// One database group.
    Group(Box<Group>),
}
