//! Services and their routes.

use {
    super::statement::read_statement,
    crate::{
        problem::ProblemKind,
        read::{
            DeclaredNames, Diagnostics, Fields, Spanned, check_name, read_array, read_bool, read_text,
            read_unsigned, suggest_name,
        },
    },
    cumincart_protocol::{
        lists::{Access, DEFAULT_DEADLINE_MS, ParameterSource, Route, Service},
        name::{RouteName, ServiceName},
    },
    jsonc_parser::{ast::Value, common::Ranged},
    std::sync::Arc,
};

/// The longest deadline of a route, in milliseconds.
pub const DEADLINE_MAX_MS: u64 = 600_000;

/// The greatest staleness that a read can accept, in milliseconds.
pub const STALENESS_MAX_MS: u64 = 86_400_000;

/// The name that no service can have, because callers end transactions under it, as in `POST /v1/transactions/commit`.
pub const RESERVED_SERVICE: &str = "transactions";

const DEADLINE_HELP: &str = "leave the field out for the ordinary deadline of 2000 ms";
const STALENESS_HELP: &str = "0 makes the read see all that was acknowledged before it";

const ROUTE_FIELDS: [&str; 9] = [
    "name",
    "access",
    "open",
    "max_staleness_ms",
    "repeatable",
    "deadline_ms",
    "replicated",
    "transaction",
    "statement",
];

/// The name of a service and the sorted names of its routes, including those with problems.
#[derive(Debug)]
pub struct KnownService {
    /// The service.
    pub name: Arc<str>,
    /// Its routes.
    pub routes: Vec<Arc<str>>,
}

/// The services, with the names of all services that could be read.
#[derive(Debug, Default)]
pub struct ParsedServices {
    /// The services.
    pub list: Vec<Service>,
    /// The names, sorted by service.
    pub known: Vec<KnownService>,
}

/// Reads the services.
pub fn read_services(value: &Value<'_>, diagnostics: &mut Diagnostics<'_>) -> Option<ParsedServices> {
    let elements = read_array(value, "services", diagnostics)?;
    let mut services = ParsedServices::default();
    let mut declared = DeclaredNames::default();
    for element in elements {
        let service = read_service(element, &mut services.known, &mut declared, diagnostics);
        services.list.extend(service);
    }
    services.known.sort_by(|left, right| left.name.cmp(&right.name));
    Some(services)
}

fn check_reserved(name: &Spanned<Arc<str>>, diagnostics: &mut Diagnostics<'_>) {
    if &*name.value == RESERVED_SERVICE {
        diagnostics.add(name.range, ProblemKind::ReservedName { found: name.value.to_string() });
    }
}

fn read_service(
    value: &Value<'_>,
    known: &mut Vec<KnownService>,
    declared: &mut DeclaredNames,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<Service> {
    let fields = Fields::read(value, "a service", &["name", "routes"], diagnostics)?;
    let name = fields.required("name", diagnostics).and_then(|value| read_text(value, "name", diagnostics));
    if let Some(name) = &name
        && check_name(name, "a service", diagnostics)
    {
        declared.insert_unique(name, "service", diagnostics);
        check_reserved(name, diagnostics);
    }
    let elements = fields
        .required("routes", diagnostics)
        .and_then(|value| read_array(value, "routes", diagnostics))
        .unwrap_or_default();
    let mut route_names = Vec::with_capacity(elements.len());
    let mut declared_routes = DeclaredNames::default();
    let mut routes = Vec::with_capacity(elements.len());
    for element in elements {
        routes.extend(read_route(element, &mut route_names, &mut declared_routes, diagnostics));
    }
    route_names.sort();
    let name = name?.value;
    known.push(KnownService { name: Arc::clone(&name), routes: route_names });
    Some(Service { name: ServiceName::from(&*name), routes })
}

fn read_route(
    value: &Value<'_>,
    names: &mut Vec<Arc<str>>,
    declared: &mut DeclaredNames,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<Route> {
    let fields = Fields::read(value, "a route", &ROUTE_FIELDS, diagnostics)?;
    let name = fields.required("name", diagnostics).and_then(|value| read_text(value, "name", diagnostics));
    let route_name = name.as_ref().map_or_else(|| Arc::from("?"), |name| Arc::clone(&name.value));
    if let Some(name) = &name {
        names.push(Arc::clone(&name.value));
        if check_name(name, "a route", diagnostics) {
            declared.insert_unique(name, "route", diagnostics);
        }
    }
    let access = fields.required("access", diagnostics).and_then(|value| read_access(value, diagnostics));
    let max_staleness_ms =
        read_ms(&fields, "max_staleness_ms", 0, 0..=STALENESS_MAX_MS, STALENESS_HELP, diagnostics);
    let deadline_ms =
        read_ms(&fields, "deadline_ms", DEFAULT_DEADLINE_MS, 1..=DEADLINE_MAX_MS, DEADLINE_HELP, diagnostics);
    let statement = fields.optional("statement").filter(|value| value.as_null_keyword().is_none());
    let open = read_flag(&fields, "open", diagnostics);
    let repeatable = read_flag(&fields, "repeatable", diagnostics);
    let replicated = read_flag(&fields, "replicated", diagnostics);
    let transaction = read_flag(&fields, "transaction", diagnostics);
    let fixed = statement.and_then(|value| read_statement(value, &route_name, diagnostics));
    let route = Route {
        name: RouteName::from(&*route_name),
        access: access?,
        open,
        max_staleness_ms,
        repeatable,
        deadline_ms,
        replicated,
        transaction,
        statement: fixed,
    };
    check_route(&route, &fields, statement.is_some(), diagnostics);
    name.map(|_| route)
}

fn read_access(value: &Value<'_>, diagnostics: &mut Diagnostics<'_>) -> Option<Access> {
    let text = read_text(value, "access", diagnostics)?;
    match &*text.value {
        "read" => Some(Access::Read),
        "write" => Some(Access::Write),
        other => {
            let help = suggest_name(other, ["read", "write"].into_iter(), "the values are");
            let (subject, found) = ("`access`".to_owned(), other.to_owned());
            diagnostics.add(text.range, ProblemKind::UnknownValue { subject, found, help });
            None
        }
    }
}

fn read_flag(fields: &Fields<'_>, field: &'static str, diagnostics: &mut Diagnostics<'_>) -> bool {
    fields.optional(field).and_then(|value| read_bool(value, field, diagnostics)).unwrap_or(false)
}

fn read_ms(
    fields: &Fields<'_>,
    field: &'static str,
    default_ms: u64,
    bounds: std::ops::RangeInclusive<u64>,
    help: &'static str,
    diagnostics: &mut Diagnostics<'_>,
) -> u64 {
    let value = fields.optional(field);
    value.and_then(|value| read_unsigned(value, field, bounds, help, diagnostics)).unwrap_or(default_ms)
}

/// Reports fields of a route that contradict each other.
fn check_route(route: &Route, fields: &Fields<'_>, has_statement: bool, diagnostics: &mut Diagnostics<'_>) {
    let mut conflict = |field: &str, conflict: &'static str, help: &'static str| {
        let range = fields.optional(field).map_or_else(|| fields.range(), Ranged::range);
        diagnostics.add(range, ProblemKind::RouteConflict { route: route.name.to_string(), conflict, help });
    };
    if route.access == Access::Read && route.transaction {
        conflict(
            "transaction",
            "a read route can't allow transactions",
            "set `access` to `write`, or remove `transaction`",
        );
    }
    if route.access == Access::Read && route.replicated {
        conflict("replicated", "a read route has nothing to replicate", "remove `replicated`");
    }
    if route.access == Access::Write && route.max_staleness_ms > 0 {
        conflict("max_staleness_ms", "a write route can't accept stale data", "remove `max_staleness_ms`");
    }
    if route.access == Access::Write && route.open && !route.repeatable {
        conflict(
            "open",
            "an open write route must be repeatable, because request ids of unrelated callers can collide",
            "set `repeatable` to true if running it twice does no harm, or remove `open`",
        );
    }
    if route.open && route.transaction {
        conflict("open", "an open route can't allow transactions", "remove `transaction` or `open`");
    }
    if route.open && !has_statement {
        conflict("open", "an open route must have a fixed statement", "add `statement`, or remove `open`");
    }
    check_open_parameters(route, fields, diagnostics);
}

fn check_open_parameters(route: &Route, fields: &Fields<'_>, diagnostics: &mut Diagnostics<'_>) {
    let Some(statement) = route.statement.as_ref().filter(|_| route.open) else { return };
    if !statement.parameters.contains(&ParameterSource::Organisation) {
        return;
    }
    let parameters = fields
        .optional("statement")
        .and_then(Value::as_object)
        .and_then(|object| object.get("parameters"))
        .map_or_else(|| fields.range(), |property| property.value.range());
    let kind = ProblemKind::RouteConflict {
        route: route.name.to_string(),
        conflict: "requests on an open route have no organisation to bind",
        help: "remove the parameter `organisation`, or remove `open`",
    };
    diagnostics.add(parameters, kind);
}
