//! The list of plans: the services with their routes, and the plans.

use {
    super::services::{KnownService, read_services},
    crate::{
        problem::ProblemKind,
        read::{
            Declared, Fields, Notes, SCHEMA_FIELD, Spanned, check_name, near_name, read_array, read_number,
            read_text, read_unsigned,
        },
    },
    cumincart_protocol::{
        lists::{Plan, PlanList, RouteReference},
        name::{PlanName, RouteName, ServiceName},
    },
    jsonc_parser::{ast::Value, common::Ranged},
    std::sync::Arc,
};

/// The lowest rate of a plan, in requests per second. It is the smallest unit in which instances share a rate.
pub const RATE_MIN_PER_S: f64 = 0.001;

/// The highest rate of a plan, in requests per second.
pub const RATE_MAX_PER_S: f64 = 1e9;

/// The greatest burst of a plan, in requests.
pub const BURST_MAX: u64 = 1_000_000_000;

/// The greatest weight of a plan.
pub const WEIGHT_MAX: u64 = 1_000;

const DEFAULT_WEIGHT: u32 = 1;

const RATE_HELP: &str = "to shut an organisation out, remove its keys or the routes of its plan";
const BURST_HELP: &str = "a burst of 1 admits single requests only";
const WEIGHT_HELP: &str = "1 is the ordinary weight; 2 gets twice the part of a busy endpoint";

/// The list, with the names of all plans that could be read.
#[derive(Debug)]
pub struct ReadPlans {
    /// The list.
    pub list: PlanList,
    /// The names of the plans, including those with problems.
    pub names: Vec<Arc<str>>,
}

/// Reads the list.
pub fn read_plan_list(value: &Value<'_>, notes: &mut Notes<'_>) -> Option<ReadPlans> {
    let fields = Fields::open(value, "the list of plans", &[SCHEMA_FIELD, "services", "plans"], notes)?;
    let services = fields.required("services", notes);
    let plans = fields.required("plans", notes);
    let services = read_services(services?, notes)?;
    let elements = read_array(plans?, "plans", notes)?;
    let mut names = Vec::with_capacity(elements.len());
    let mut declared = Declared::default();
    let mut plans = Vec::with_capacity(elements.len());
    for element in elements {
        plans.extend(read_plan(element, &services.known, &mut names, &mut declared, notes));
    }
    Some(ReadPlans { list: PlanList { services: services.list, plans }, names })
}

fn read_plan(
    value: &Value<'_>,
    services: &[KnownService],
    names: &mut Vec<Arc<str>>,
    declared: &mut Declared,
    notes: &mut Notes<'_>,
) -> Option<Plan> {
    let fields = Fields::open(value, "a plan", &["name", "routes", "rate_per_s", "burst", "weight"], notes)?;
    let name = fields.required("name", notes).and_then(|value| read_text(value, "name", notes));
    let owner = name.as_ref().map_or_else(|| Arc::from("?"), |name| Arc::clone(&name.value));
    if let Some(name) = &name {
        names.push(Arc::clone(&name.value));
        if check_name(name, "a plan", notes) {
            declared.check(name, "plan", notes);
        }
    }
    let routes =
        fields.required("routes", notes).map(|value| read_references(value, &owner, services, notes));
    let rate = fields.required("rate_per_s", notes).and_then(|value| {
        read_number(value, "rate_per_s", RATE_MIN_PER_S..=RATE_MAX_PER_S, RATE_HELP, notes)
    });
    let burst = fields
        .required("burst", notes)
        .and_then(|value| read_unsigned(value, "burst", 1..=BURST_MAX, BURST_HELP, notes));
    let weight = match fields.optional("weight") {
        Some(value) => read_unsigned(value, "weight", 1..=WEIGHT_MAX, WEIGHT_HELP, notes).map(bounded),
        None => Some(DEFAULT_WEIGHT),
    };
    Some(Plan {
        name: PlanName::from(&*name?.value),
        routes: routes?,
        rate_per_s: rate?,
        burst: bounded(burst?),
        weight: weight?,
    })
}

fn bounded(number: u64) -> u32 {
    u32::try_from(number).expect("the bounds of the field lie within 32 bits")
}

fn read_references(
    value: &Value<'_>,
    plan: &str,
    services: &[KnownService],
    notes: &mut Notes<'_>,
) -> Vec<RouteReference> {
    let mut references = Vec::new();
    let mut named = Declared::default();
    for element in read_array(value, "routes", notes).unwrap_or_default() {
        let Some(reference) = read_reference(element, plan, services, notes) else { continue };
        let name = format!("{}/{}", reference.service, reference.route).into();
        if named.add(&Spanned { value: name, range: element.range() }).is_some() {
            let kind = ProblemKind::RepeatedRoute {
                plan: plan.to_owned(),
                service: reference.service.to_string(),
                route: reference.route.to_string(),
            };
            notes.add(element.range(), kind);
        } else {
            references.push(reference);
        }
    }
    references
}

fn read_reference(
    value: &Value<'_>,
    plan: &str,
    services: &[KnownService],
    notes: &mut Notes<'_>,
) -> Option<RouteReference> {
    let fields = Fields::open(value, "a plan's route", &["service", "route"], notes)?;
    let service = fields.required("service", notes).and_then(|value| read_text(value, "service", notes));
    let route = fields.required("route", notes).and_then(|value| read_text(value, "route", notes));
    let (service, route) = (service?, route?);
    let reference =
        RouteReference { service: ServiceName::from(&*service.value), route: RouteName::from(&*route.value) };
    let Ok(index) = services.binary_search_by(|known| known.name.cmp(&service.value)) else {
        let names = services.iter().map(|known| &*known.name);
        let help = near_name(&service.value, names, "the services are");
        let (plan, service_name) = (plan.to_owned(), service.value.to_string());
        notes.add(service.range, ProblemKind::UnknownService { plan, service: service_name, help });
        return Some(reference);
    };
    let known = &services[index];
    if known.routes.binary_search(&route.value).is_err() {
        let names = known.routes.iter().map(|name| &**name);
        let kind = ProblemKind::UnknownRoute {
            plan: plan.to_owned(),
            service: service.value.to_string(),
            route: route.value.to_string(),
            help: near_name(&route.value, names, "its routes are"),
        };
        notes.add(route.range, kind);
    }
    Some(reference)
}
