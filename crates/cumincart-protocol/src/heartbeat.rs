//! Heartbeats from entry instances to the control leader, and the answers that renew their leases.
//!
//! One exchange carries all control traffic of an entry instance: the freshness lease, catalogue changes, shares of
//! rate limits, connection permits and endpoint reports. Field names are short in the encoding because every entry
//! instance sends these messages a few times a second.

use {
    crate::{
        catalogue::{Catalogue, Group},
        instances::InstancesUpdate,
        lists::{Lists, Plan},
        name::{DomainName, EndpointName, InstanceName, OrganisationName},
        number::{ControlTerm, Incarnation, ListsRevision, Revision},
        packed::PackedUpdate,
        patch::ListsPatch,
        sorted::{Keyed, SortedVec},
        time::Instant,
        usage::UsageReport,
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

/// A report from an entry instance to the control leader, sent a few times a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    #[serde(rename = "i")]
    pub instance: InstanceName,
    /// The sender's incarnation.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// The sender's failure domain.
    #[serde(rename = "d")]
    pub domain: DomainName,
    /// The address at which other entry instances reach the sender, as `ip:port`.
    #[serde(rename = "a")]
    pub peer_address: Arc<str>,
    /// Whether the sender accepts [`CatalogueUpdate::Packed`].
    #[serde(rename = "z", default, skip_serializing_if = "is_false")]
    pub accepts_packed: bool,
    /// The sender's clock when it sent the heartbeat; returned in the answer.
    #[serde(rename = "t")]
    pub asked_at: Instant,
    /// The catalogue revision that is in force at the sender.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// Whether the sender is stopping and releases everything it holds.
    #[serde(rename = "l")]
    pub leaving: bool,
    /// Whether `shares` and `permits` list everything the sender holds, not only what has changed.
    #[serde(rename = "c", default, skip_serializing_if = "is_false")]
    pub complete: bool,
    /// The election term of the leader whose grants are in force at the sender; no grant of an earlier one can apply any
    /// more. Absent if the sender doesn't report it.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub grants_term: Option<ControlTerm>,
    /// The digest of the sender's list of entry instances; see [`crate::instances::digest`].
    #[serde(rename = "g", default, skip_serializing_if = "is_zero")]
    pub instances_digest: u64,
    /// The digest of the sender's list of control instances; see [`crate::control_addresses::digest`].
    #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
    pub control_digest: u64,
    /// Endpoints whose reachability the sender has something new to report about since its last heartbeat.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub endpoints: Vec<EndpointReport>,
    /// The sender's shares of organisations' rates and its demand, for organisations with traffic or a share. An
    /// organisation that is absent is unchanged since its last report, if the leader has received one.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub shares: Vec<ShareReport>,
    /// The sender's connection permits for endpoints and its demand. An endpoint that is absent is unchanged since its
    /// last report.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub permits: Vec<PermitReport>,
    /// What organisations ran through the sender; none if it does not count.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageReport>,
}

/// The reachability of an endpoint as an entry instance observed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Whether the last attempt to reach the endpoint succeeded.
    pub reachable: bool,
    /// How long `reachable` has had this value, in milliseconds.
    pub since_ms: u64,
}

/// A share of an organisation's rate and burst.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The rate, in thousandths of a request per second.
    #[serde(rename = "r")]
    pub rate_milli_per_s: u64,
    /// The capacity of the token bucket, in thousandths of a request.
    #[serde(rename = "b")]
    pub burst_milli: u64,
}

/// The number of low bits of a grant number that count grants. The bits above them hold the leader's election term.
const GRANT_COUNTER_BITS: u32 = 32;

/// Returns the grant number that precedes all grants of an election term.
pub const fn first_grant_number(control_term: ControlTerm) -> u64 {
    control_term.0 << GRANT_COUNTER_BITS
}

/// Returns the election term of the leader that issued a grant.
pub const fn grant_term(grant_number: u64) -> ControlTerm {
    ControlTerm(grant_number >> GRANT_COUNTER_BITS)
}

/// The highest rate of a share, in thousandths of a request per second. Higher rates of plans are clamped to it.
const MAX_RATE_MILLI_PER_S: f64 = 1e12;

impl Share {
    /// Returns the whole rate and burst that a plan allows one organisation.
    pub fn of_plan(plan: &Plan) -> Self {
        let rate_milli_per_s = (plan.rate_per_s * 1_000.0).clamp(0.0, MAX_RATE_MILLI_PER_S).floor() as u64;
        Self { rate_milli_per_s, burst_milli: u64::from(plan.burst) * 1_000 }
    }

    /// Returns whether each of this many holders can get a useful share: at least one token per second and a burst of
    /// two.
    pub fn is_divisible_among(&self, holders: u64) -> bool {
        let holders_milli = holders.max(1) * 1_000;
        self.rate_milli_per_s >= holders_milli && self.burst_milli >= 2 * holders_milli
    }
}

/// An entry instance's share of one organisation's rate, and its demand.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareReport {
    /// The organisation.
    #[serde(rename = "o")]
    pub organisation: OrganisationName,
    /// The number of the last grant in force at the sender. Older grants can no longer apply.
    #[serde(rename = "n")]
    pub grant_number: u64,
    /// The share that the sender holds, as granted.
    #[serde(rename = "h")]
    pub held: Share,
    /// The whole limit that the share is a part of, as granted.
    #[serde(rename = "b")]
    pub basis: Share,
    /// The rate of requests over about the last second, admitted or not, in thousandths of a request per second.
    #[serde(rename = "d")]
    pub demand_milli_per_s: u64,
    /// The number of requests that are waiting for a token.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero_u32")]
    pub waiting: u32,
    /// The tokens that the sender has returned since the start of its incarnation, in thousandths; they are already
    /// deducted from its bucket. The value is a running total, so that a lost or duplicated heartbeat neither loses nor
    /// duplicates tokens.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    pub returned_milli: u64,
}

/// A share granted by the control leader. It applies only if the grant numbered `replaces` is in force at the holder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The organisation.
    #[serde(rename = "o")]
    pub organisation: OrganisationName,
    /// Increases with every grant to this instance for this organisation; the upper half is the leader's election term.
    #[serde(rename = "n")]
    pub grant_number: u64,
    /// The number of the grant that must be in force at the holder for this one to apply; 0 if none is in force.
    #[serde(rename = "p")]
    pub replaces: u64,
    /// The share.
    #[serde(rename = "s")]
    pub share: Share,
    /// The whole limit that the share is a part of. If the lists in force at the holder allow less, the share and the
    /// tokens shrink in proportion.
    #[serde(rename = "b")]
    pub basis: Share,
    /// The tokens that come with the share, in thousandths. They were returned by other instances or held in the
    /// leader's reserve.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    pub tokens_milli: u64,
    /// The time until the leader's reserve may hold a token for waiting requests, in milliseconds; 0 if none wait.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub next_token_ms: u64,
}

/// An entry instance's connection permits for one endpoint, and its demand.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReport {
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: EndpointName,
    /// The number of the last grant in force at the sender.
    #[serde(rename = "n")]
    pub grant_number: u64,
    /// The number of connections that the sender may still have open: the greater of its permits and its connections.
    #[serde(rename = "h")]
    pub held: u32,
    /// The number of its permits that the sender keeps for a limited time after its lease has expired.
    #[serde(rename = "k")]
    pub kept: u32,
    /// The number of connections that the sender could use.
    #[serde(rename = "w")]
    pub wanted: u32,
}

/// The number of connections that an instance may hold to an endpoint. It applies only if the grant numbered `replaces`
/// is in force at the holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: EndpointName,
    /// Increases with every grant to this instance for this endpoint; the upper half is the leader's election term.
    #[serde(rename = "n")]
    pub grant_number: u64,
    /// The number of the grant that must be in force at the holder for this one to apply; 0 if none is in force.
    #[serde(rename = "p")]
    pub replaces: u64,
    /// The number of connections.
    #[serde(rename = "c")]
    pub permits: u32,
    /// The number of `permits` that the holder keeps after its lease has expired, for requests on open routes.
    #[serde(rename = "k")]
    pub kept: u32,
}

/// The leader's answer to a heartbeat: a lease and all changes since the state that the heartbeat reported.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatAnswer {
    /// The holder's clock when it sent the heartbeat; every lease in this answer starts at this time.
    #[serde(rename = "t")]
    pub asked_at: Instant,
    /// The incarnation that sent the heartbeat; an answer to an earlier incarnation is dropped.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// The leader's election term.
    #[serde(rename = "c")]
    pub control_term: ControlTerm,
    /// The catalogue revision that a quorum confirmed as current after the heartbeat arrived.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// How long the holder may treat the terms and the service state of `revision` as current, in milliseconds.
    #[serde(rename = "l")]
    pub term_lease_ms: u64,
    /// How long the holder may act on the keys, plans, shares and permits of `revision`, in milliseconds.
    #[serde(rename = "f")]
    pub freshness_lease_ms: u64,
    /// The update from the holder's revision to `revision`.
    #[serde(rename = "u")]
    pub update: CatalogueUpdate,
    /// Changed shares.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub shares: Vec<ShareGrant>,
    /// Changed permits.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub permits: Vec<PermitGrant>,
    /// The update of the holder's list of entry instances; none if the list is current.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub instances: Option<InstancesUpdate>,
    /// The control instances' peer addresses, as `ip:port`; none if the holder has this list.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub control_addresses: Option<Vec<Arc<str>>>,
}

/// An entry instance that holds a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Its name.
    pub name: InstanceName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainName,
    /// The address at which other entry instances reach it, as `ip:port`.
    pub peer_address: Arc<str>,
}

impl Keyed for InstanceEntry {
    type Key = InstanceName;

    fn key(&self) -> &InstanceName {
        &self.name
    }
}

/// An update from a holder's catalogue revision to the current one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CatalogueUpdate {
    /// The holder is at the current revision.
    None,
    /// Changes to apply in order, from the holder's revision on.
    Deltas(Vec<CatalogueDelta>),
    /// The whole catalogue, if the holder is too many revisions behind.
    Snapshot(Arc<Catalogue>),
    /// A large update, compressed. Sent to holders that accept it.
    Packed(PackedUpdate),
}

/// One step from a catalogue revision to a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CatalogueDelta {
    /// The revision before the change.
    pub from: Revision,
    /// The revision after the change.
    pub to: Revision,
    /// The change.
    pub change: CatalogueChange,
}

/// The change that one log record makes to a catalogue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CatalogueChange {
    /// No change that is visible to entry instances.
    Nothing,
    /// Replaces all lists.
    Lists(ListsRevision, Arc<Lists>),
    /// Patches the lists of the previous revision.
    ListsPatch(ListsRevision, Arc<ListsPatch>),
    /// Replaces the set of failure domains that are out of service.
    DomainsOut(SortedVec<DomainName>),
    /// Replaces the set of instances that are out of service.
    InstancesOut(SortedVec<InstanceName>),
    /// Replaces or adds one database group.
    Group(Box<Group>),
}
