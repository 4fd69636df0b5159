//! The list of plans: the services with their routes, and the plans.

use {
    super::services::{KnownService, read_services},
    crate::{
        problem::ProblemKind,
        read::{
            DeclaredNames, Diagnostics, Fields, SCHEMA_FIELD, Spanned, check_name, read_array, read_number,
            read_text, read_unsigned, suggest_name,
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
pub struct ParsedPlans {
    /// The list.
    pub list: PlanList,
    /// The names of the plans, including those with problems.
    pub names: Vec<Arc<str>>,
}

/// Reads the list.
pub fn read_plan_list(value: &Value<'_>, diagnostics: &mut Diagnostics<'_>) -> Option<ParsedPlans> {
    let fields = Fields::read(value, "the list of plans", &[SCHEMA_FIELD, "services", "plans"], diagnostics)?;
    let services = fields.required("services", diagnostics);
    let plans = fields.required("plans", diagnostics);
    let services = read_services(services?, diagnostics)?;
    let elements = read_array(plans?, "plans", diagnostics)?;
    let mut names = Vec::with_capacity(elements.len());
    let mut declared = DeclaredNames::default();
    let mut plans = Vec::with_capacity(elements.len());
    for element in elements {
        plans.extend(read_plan(element, &services.known, &mut names, &mut declared, diagnostics));
    }
    Some(ParsedPlans { list: PlanList { services: services.list, plans }, names })
}

fn read_plan(
    value: &Value<'_>,
    services: &[KnownService],
    names: &mut Vec<Arc<str>>,
    declared: &mut DeclaredNames,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<Plan> {
    let fields =
        Fields::read(value, "a plan", &["name", "routes", "rate_per_s", "burst", "weight"], diagnostics)?;
    let name = fields.required("name", diagnostics).and_then(|value| read_text(value, "name", diagnostics));
    let plan_name = name.as_ref().map_or_else(|| Arc::from("?"), |name| Arc::clone(&name.value));
    if let Some(name) = &name {
        names.push(Arc::clone(&name.value));
        if check_name(name, "a plan", diagnostics) {
            declared.insert_unique(name, "plan", diagnostics);
        }
    }
    let routes = fields
        .required("routes", diagnostics)
        .map(|value| read_references(value, &plan_name, services, diagnostics));
    let rate = fields.required("rate_per_s", diagnostics).and_then(|value| {
        read_number(value, "rate_per_s", RATE_MIN_PER_S..=RATE_MAX_PER_S, RATE_HELP, diagnostics)
    });
    let burst = fields
        .required("burst", diagnostics)
        .and_then(|value| read_unsigned(value, "burst", 1..=BURST_MAX, BURST_HELP, diagnostics));
    let weight = match fields.optional("weight") {
        Some(value) => read_unsigned(value, "weight", 1..=WEIGHT_MAX, WEIGHT_HELP, diagnostics).map(to_u32),
        None => Some(DEFAULT_WEIGHT),
    };
    Some(Plan {
        name: PlanName::from(&*name?.value),
        routes: routes?,
        rate_per_s: rate?,
        burst: to_u32(burst?),
        weight: weight?,
    })
}

fn to_u32(number: u64) -> u32 {
    u32::try_from(number).expect("the bounds of the field fit in 32 bits")
}

fn read_references(
    value: &Value<'_>,
    plan: &str,
    services: &[KnownService],
    diagnostics: &mut Diagnostics<'_>,
) -> Vec<RouteReference> {
    let mut references = Vec::new();
    let mut named = DeclaredNames::default();
    for element in read_array(value, "routes", diagnostics).unwrap_or_default() {
        let Some(reference) = read_reference(element, plan, services, diagnostics) else { continue };
        let name = format!("{}/{}", reference.service, reference.route).into();
        if named.insert(&Spanned { value: name, range: element.range() }).is_some() {
            let kind = ProblemKind::RepeatedRoute {
                plan: plan.to_owned(),
                service: reference.service.to_string(),
                route: reference.route.to_string(),
            };
            diagnostics.add(element.range(), kind);
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
    diagnostics: &mut Diagnostics<'_>,
) -> Option<RouteReference> {
    let fields = Fields::read(value, "a plan's route", &["service", "route"], diagnostics)?;
    let service =
        fields.required("service", diagnostics).and_then(|value| read_text(value, "service", diagnostics));
    let route =
        fields.required("route", diagnostics).and_then(|value| read_text(value, "route", diagnostics));
    let (service, route) = (service?, route?);
    let reference =
        RouteReference { service: ServiceName::from(&*service.value), route: RouteName::from(&*route.value) };
    let Ok(index) = services.binary_search_by(|known| known.name.cmp(&service.value)) else {
        let names = services.iter().map(|known| &*known.name);
        let help = suggest_name(&service.value, names, "the services are");
        let (plan, service_name) = (plan.to_owned(), service.value.to_string());
        diagnostics.add(service.range, ProblemKind::UnknownService { plan, service: service_name, help });
        return Some(reference);
    };
    let known = &services[index];
    if known.routes.binary_search(&route.value).is_err() {
        let names = known.routes.iter().map(|name| &**name);
        let kind = ProblemKind::UnknownRoute {
            plan: plan.to_owned(),
            service: service.value.to_string(),
            route: route.value.to_string(),
            help: suggest_name(&route.value, names, "its routes are"),
        };
        diagnostics.add(route.range, kind);
    }
    Some(reference)
}
