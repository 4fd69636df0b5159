//! Admission: checks a request's key, plan and route, and binds its statement.

mod index;
mod statement;

pub use index::{Index, OrganisationEntry, RouteEntry};

use {
    super::Core,
    cumincart_protocol::{
        excerpt::Excerpt,
        lists::Route,
        name::{OrganisationName, ServiceName},
        refusal::{Refusal, RefusalCode},
        request::{Call, CallerRequest, Operation, Statement},
        time::Instant,
    },
    std::sync::Arc,
};

/// The weight of requests without an organisation in an endpoint's queue.
pub const OPEN_WEIGHT: u32 = 1;

/// A call that passed admission.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// The organisation; none on an open route.
    pub organisation: Option<OrganisationName>,
    /// The organisation's weight.
    pub weight: u32,
    /// The service.
    pub service: ServiceName,
    /// The route.
    pub route: Arc<Route>,
    /// The statement, with its parameters bound.
    pub statement: Statement,
}

/// Checks a call against the lists. Takes no token of the organisation's rate.
pub fn admit(core: &Core, now: Instant, request: &CallerRequest, call: &Call) -> Result<Admitted, Refusal> {
    let fresh = core.freshness.is_fresh(now);
    let index = &core.freshness.index;
    let Some((position, entry)) = index.route(&call.service, &call.route) else {
        return Err(if fresh { route_unknown(call) } else { not_fresh() });
    };
    if entry.route.open {
        return admitted(entry, None, request, call);
    }
    if !fresh {
        return Err(not_fresh());
    }
    let organisation = organisation_of(index, request.key_digest.as_ref())?;
    if !organisation.may_use(position) {
        return Err(Refusal::not_run(
            RefusalCode::RouteForbidden,
            "the organisation's plan does not allow this route",
        ));
    }
    admitted(entry, Some(organisation), request, call)
}

/// Returns the organisation of a key for requests without a route, such as the end of a transaction. The
/// freshness lease must be live and the key known.
pub fn identify(
    core: &Core,
    now: Instant,
    key_digest: Option<&[u8; 32]>,
) -> Result<OrganisationName, Refusal> {
    if !core.freshness.is_fresh(now) {
        return Err(not_fresh());
    }
    let organisation = organisation_of(&core.freshness.index, key_digest)?;
    Ok(organisation.name.clone())
}

/// Whether a key still belongs to an organisation, for requests that were admitted earlier, such as an open
/// transaction.
pub fn still_allowed(
    core: &Core,
    now: Instant,
    key_digest: Option<&[u8; 32]>,
    organisation: &OrganisationName,
) -> bool {
    identify(core, now, key_digest).is_ok_and(|found| found == *organisation)
}

fn organisation_of<'a>(
    index: &'a Index,
    key_digest: Option<&[u8; 32]>,
) -> Result<&'a OrganisationEntry, Refusal> {
    let Some(digest) = key_digest else {
        return Err(Refusal::not_run(RefusalCode::KeyRefused, "this route needs a key"));
    };
    index
        .organisation_by_key(digest)
        .ok_or_else(|| Refusal::not_run(RefusalCode::KeyRefused, "the key is not known"))
}

fn admitted(
    entry: &RouteEntry,
    organisation: Option<&OrganisationEntry>,
    request: &CallerRequest,
    call: &Call,
) -> Result<Admitted, Refusal> {
    let name = organisation.map(|organisation| organisation.name.clone());
    let statement = match request.operation {
        // Beginning a transaction runs no statement of the route.
        Operation::Begin(_) => Statement { sql: "".into(), parameters: Vec::new() },
        _ => statement::bind(&entry.route, name.as_ref(), call)?,
    };
    Ok(Admitted {
        organisation: name,
        weight: organisation.map_or(OPEN_WEIGHT, |organisation| organisation.weight),
        service: entry.service.clone(),
        route: entry.route.clone(),
        statement,
    })
}

fn route_unknown(call: &Call) -> Refusal {
    let (service, route) = (Excerpt(call.service.as_str()), Excerpt(call.route.as_str()));
    Refusal::not_run(RefusalCode::RouteUnknown, format!("there is no route {service}/{route}"))
}

fn not_fresh() -> Refusal {
    Refusal::not_run(RefusalCode::NotFresh, "this instance can't confirm that its keys and plans are current")
}
