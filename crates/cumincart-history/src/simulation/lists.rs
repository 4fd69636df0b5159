//! The organisation list and the plan list of the simulation.

use {
    super::{ORGANISATIONS, SERVICES},
    cumincart_protocol::{
        lists::{
            Access, FixedStatement, InteractiveList, KeyDigest, Lists, Organisation, OrganisationList,
            ParameterSource, Plan, PlanList, Route, RouteReference, Service, ServiceLimits,
        },
        name::{OrganisationName, ServiceName},
    },
};

/// The rate limit of each organisation, in requests per second.
pub const RATE_PER_S: f64 = 60.0;

/// The burst limit of each organisation, in requests.
pub const BURST: u32 = 30;

/// The number of keys of each organisation.
pub const KEYS: usize = 2;

/// The maximum number of connections of an endpoint.
pub const CONNECTION_LIMIT: u32 = 30;

const DEADLINE_MS: u64 = 1_500;
const MAX_STALENESS_MS: u64 = 5_000;

/// Returns the name of a service.
pub fn service_name(service: usize) -> ServiceName {
    format!("service-{service}").into()
}

/// Returns the name of an organisation.
pub fn organisation_name(organisation: usize) -> OrganisationName {
    format!("organisation-{organisation}").into()
}

/// Parses the index of an organisation from its name.
pub fn parse_organisation(name: &str) -> Option<usize> {
    name.strip_prefix("organisation-")?.parse().ok()
}

/// Returns the digest of an organisation's key.
pub fn key_digest(organisation: usize, key: usize) -> [u8; 32] {
    let number = u8::try_from(organisation * KEYS + key + 1).unwrap_or(u8::MAX);
    [number; 32]
}

/// Returns both lists, without the withdrawn keys.
pub fn lists(withdrawn: &[usize], synchronous_replicas: u32) -> Lists {
    let limits = |service| ServiceLimits {
        service: service_name(service),
        connection_limit: CONNECTION_LIMIT,
        synchronous_replicas,
    };
    let services = if synchronous_replicas > 0 { 0..SERVICES } else { 0..0 };
    let interactive =
        InteractiveList { services: services.map(limits).collect(), ..InteractiveList::default() };
    Lists { organisations: organisations(withdrawn), plans: plans(), interactive }
}

fn organisations(withdrawn: &[usize]) -> OrganisationList {
    let organisations = (0..ORGANISATIONS).map(|organisation| {
        let keys = (0..KEYS).filter(|key| !withdrawn.contains(&(organisation * KEYS + key)));
        Organisation {
            name: organisation_name(organisation),
            plan: "plan".into(),
            keys: keys
                .map(|key| KeyDigest {
                    id: format!("key-{organisation}-{key}").into(),
                    sha256: hex::encode(key_digest(organisation, key)).into(),
                })
                .collect(),
        }
    });
    OrganisationList { organisations: organisations.collect() }
}

fn plans() -> PlanList {
    let services: Vec<_> =
        (0..SERVICES).map(|service| Service { name: service_name(service), routes: routes() }).collect();
    let references = services.iter().flat_map(|service| {
        let keyed = service.routes.iter().filter(|route| !route.open);
        keyed.map(|route| RouteReference { service: service.name.clone(), route: route.name.clone() })
    });
    let plan = Plan {
        name: "plan".into(),
        routes: references.collect(),
        rate_per_s: RATE_PER_S,
        burst: BURST,
        weight: 1,
    };
    PlanList { services, plans: vec![plan] }
}

fn routes() -> Vec<Route> {
    vec![
        Route { repeatable: true, transaction: true, ..route("put", Access::Write, &["key", "value"]) },
        Route { replicated: true, ..route("record", Access::Write, &["key", "value"]) },
        Route {
            max_staleness_ms: MAX_STALENESS_MS,
            repeatable: true,
            ..route("get", Access::Read, &["key"])
        },
        Route { repeatable: true, ..route("get-fresh", Access::Read, &["key"]) },
        Route {
            open: true,
            max_staleness_ms: MAX_STALENESS_MS,
            repeatable: true,
            statement: Some(FixedStatement {
                sql: "open-get".into(),
                parameters: ["request", "key"].map(|name| ParameterSource::Caller(name.into())).to_vec(),
            }),
            ..route("open-get", Access::Read, &[])
        },
    ]
}

fn route(name: &str, access: Access, arguments: &[&str]) -> Route {
    let own = [ParameterSource::Organisation, ParameterSource::Caller("request".into())];
    let caller_arguments = arguments.iter().map(|name| ParameterSource::Caller((*name).into()));
    Route {
        name: name.into(),
        access,
        open: false,
        max_staleness_ms: 0,
        repeatable: false,
        deadline_ms: DEADLINE_MS,
        replicated: false,
        transaction: false,
        statement: Some(FixedStatement {
            sql: name.into(),
            parameters: own.into_iter().chain(caller_arguments).collect(),
        }),
    }
}
