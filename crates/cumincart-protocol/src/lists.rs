//! The operators' two lists, in the form in which they are checked, replicated and read.

use {
    crate::{
        name::{KeyId, OrganisationName, PlanName, RouteName, ServiceName},
        sorted::Keyed,
    },
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Both lists; always applied together.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lists {
    /// Who may use the system.
    pub organisations: OrganisationList,
    /// What each plan may use.
    pub plans: PlanList,
}

/// The list of organisations.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OrganisationList {
    /// The organisations; names are unique.
    pub organisations: Vec<Organisation>,
}

/// One customer: its plan and its keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationName,
    /// The plan that it is on.
    pub plan: PlanName,
    /// The digests of its keys.
    #[serde(default)]
    pub keys: Vec<KeyDigest>,
}

impl Keyed for Organisation {
    type Key = OrganisationName;

    fn key(&self) -> &OrganisationName {
        &self.name
    }
}

/// A key's identifier and the digest by which it is recognised.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeyDigest {
    /// The identifier, unique over all organisations.
    pub id: KeyId,
    /// SHA-256 of the key, as 64 lower-case hexadecimal digits.
    pub sha256: Arc<str>,
}

/// The list of services and plans.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlanList {
    /// The services and their routes.
    pub services: Vec<Service>,
    /// The plans.
    pub plans: Vec<Plan>,
}

/// One database group and the routes into it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Its routes; names are unique within the service.
    pub routes: Vec<Route>,
}

impl Keyed for Service {
    type Key = ServiceName;

    fn key(&self) -> &ServiceName {
        &self.name
    }
}

/// Whether a route reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Runs in a read-only transaction, on a replica where one is fresh enough.
    Read,
    /// Runs on the primary.
    Write,
}

/// One way into a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// Whether it reads or writes.
    pub access: Access,
    /// Open to all: needs no key and carries no organisation.
    #[serde(default)]
    pub open: bool,
    /// The age that a read accepts; 0 or absent means that it must see all that was acknowledged before.
    #[serde(default)]
    pub max_staleness_ms: u64,
    /// Whether running a request twice does no harm.
    #[serde(default)]
    pub repeatable: bool,
    /// The time that a request has from its arrival to its answer.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Whether a write is acknowledged only when a replica has it too.
    #[serde(default)]
    pub replicated: bool,
    /// Whether statements may be sent inside a transaction of several requests.
    #[serde(default)]
    pub transaction: bool,
    /// The SQL to run; where it is absent, the caller sends the SQL.
    #[serde(default)]
    pub statement: Option<FixedStatement>,
}

/// The deadline of a route that declares none.
pub const DEFAULT_DEADLINE_MS: u64 = 2_000;

fn default_deadline_ms() -> u64 {
    DEFAULT_DEADLINE_MS
}

/// A statement that the list fixes, with its parameters in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FixedStatement {
    /// The SQL, with `$1`, `$2`, … for the parameters.
    pub sql: Arc<str>,
    /// Where each parameter's value comes from.
    #[serde(default)]
    pub parameters: Vec<ParameterSource>,
}

/// Where a fixed statement's parameter comes from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ParameterSource {
    /// The value that the caller sends under this name.
    Caller(Arc<str>),
    /// The name of the organisation whose key came with the request; no caller can set it.
    Organisation,
}

/// What the organisations on a plan may use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: PlanName,
    /// The routes that it may use.
    pub routes: Vec<RouteReference>,
    /// Requests a second, over the whole fleet, for each organisation on the plan.
    pub rate_per_s: f64,
    /// Requests that may come at once after a pause.
    pub burst: u32,
    /// The organisation's weight where organisations compete for an endpoint.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

impl Keyed for Plan {
    type Key = PlanName;

    fn key(&self) -> &PlanName {
        &self.name
    }
}

/// A route named from a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RouteReference {
    /// The service.
    pub service: ServiceName,
    /// The route of that service.
    pub route: RouteName,
}
