//! Random traffic of the organisations of a deployment, reproducible by seed.

use {
    crate::{
        arrivals::{poisson, skewed_index},
        session::{Call, Session},
    },
    cumincart_config::ConfigError,
    cumincart_fleet::Deployment,
    cumincart_protocol::{
        lists::{Access, Lists, Plan, Route},
        request::Value,
    },
    rand::RngExt,
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    std::{sync::Arc, time::Duration},
};

/// The number of sessions of each organisation.
const SESSIONS: usize = 4;

/// The number of different keys, such as phone numbers or listings, that the requests of an organisation use.
const SUBJECTS: u32 = 40;

/// The weight of a read route; that of a write route is 1.
const READ_WEIGHT: u32 = 3;

/// An organisation that sends requests.
#[derive(Debug, Clone)]
pub struct Organisation {
    /// The name.
    pub name: Arc<str>,
    /// The rate limit of the organisation's plan.
    pub rate_per_s: f64,
    /// The burst of the organisation's plan.
    pub burst: u32,
    /// The organisation's sessions.
    pub sessions: Vec<Session>,
    routes: Vec<(Arc<str>, Route)>,
}

/// A request that is due at a given time.
#[derive(Debug, Clone)]
pub struct ScheduledRequest {
    /// The time at which the request is due, from the start of the run.
    pub due: Duration,
    /// The index of the organisation.
    pub organisation: usize,
    /// The index of the session among the organisation's sessions.
    pub session: usize,
    /// The index of the preferred entry instance; the balancer selects another one if it is not ready.
    pub entry: usize,
    /// Whether the request is a write.
    pub is_write: bool,
    /// The maximum staleness that a read accepts.
    pub max_staleness_ms: u64,
    /// The call.
    pub call: Call,
}

/// The settings of generated traffic.
#[derive(Debug, Clone)]
pub struct TrafficSettings {
    /// The seed of the arrivals and all random choices.
    pub seed: u64,
    /// The time span in which requests are due.
    pub span: Duration,
    /// The number of entry instances.
    pub entries: usize,
    /// Whether 80 % of the requests go to the first fifth of the entry instances, instead of an equal distribution.
    pub skewed: bool,
    /// Selects the routes to use among those that the plan allows, by service name and route.
    pub includes_route: fn(&str, &Route) -> bool,
    /// The load of each organisation as a multiple of its rate limit, in the order of the organisations.
    pub load_factors: Vec<f64>,
}

/// Returns the organisations of a deployment with new sessions.
pub fn organisations(deployment: &Deployment) -> Result<Vec<Organisation>, ConfigError> {
    let lists = deployment.lists()?;
    let organisations = lists.organisations.organisations.iter().filter_map(|organisation| {
        let plan = lists.plans.plans.iter().find(|plan| plan.name == organisation.plan)?;
        let key = format!("example-only-{}", organisation.keys.first()?.id);
        Some(Organisation {
            name: organisation.name.as_str().into(),
            rate_per_s: plan.rate_per_s,
            burst: plan.burst,
            sessions: (0..SESSIONS).map(|_| Session::new(Some(&key))).collect(),
            routes: routes(&lists, plan),
        })
    });
    Ok(organisations.collect())
}

/// Returns the routes that a plan allows, with the names of their services.
fn routes(lists: &Lists, plan: &Plan) -> Vec<(Arc<str>, Route)> {
    let find = |service: &str, name: &str| {
        let service = lists.plans.services.iter().find(|one| one.name.as_str() == service)?;
        service.routes.iter().find(|route| route.name.as_str() == name).cloned()
    };
    let references = plan.routes.iter();
    let found = references.filter_map(|reference| {
        let service = reference.service.as_str();
        Some((service.into(), find(service, reference.route.as_str())?))
    });
    found.collect()
}

/// Generates the requests, sorted by the time at which they are due.
pub fn generate(organisations: &[Organisation], settings: &TrafficSettings) -> Vec<ScheduledRequest> {
    let mut all = Vec::new();
    for (index, organisation) in organisations.iter().enumerate() {
        let seed = settings.seed.wrapping_mul(1_000).wrapping_add(index as u64);
        let mut random = ChaCha20Rng::seed_from_u64(seed ^ u64::MAX);
        let rate_per_s = organisation.rate_per_s * settings.load_factors[index];
        let used: Vec<_> = organisation
            .routes
            .iter()
            .filter(|(service, route)| (settings.includes_route)(service, route))
            .collect();
        if rate_per_s <= 0.0 || used.is_empty() {
            continue;
        }
        for due in poisson(seed, rate_per_s, settings.span) {
            let (service, route) = choose(&used, &mut random);
            let request_index = all.len();
            all.push(ScheduledRequest {
                due,
                organisation: index,
                session: random.random_range(0..SESSIONS),
                entry: if settings.skewed {
                    skewed_index(&mut random, settings.entries)
                } else {
                    random.random_range(0..settings.entries)
                },
                is_write: route.access == Access::Write,
                max_staleness_ms: route.max_staleness_ms,
                call: call(service, route, seed, request_index, &mut random),
            });
        }
    }
    all.sort_by_key(|request| request.due);
    all
}

fn choose<'a>(used: &[&'a (Arc<str>, Route)], random: &mut ChaCha20Rng) -> &'a (Arc<str>, Route) {
    let weight = |route: &Route| if route.access == Access::Read { READ_WEIGHT } else { 1 };
    let total: u32 = used.iter().map(|(_, route)| weight(route)).sum();
    let mut left = random.random_range(0..total);
    for candidate in used {
        let weight = weight(&candidate.1);
        if left < weight {
            return candidate;
        }
        left -= weight;
    }
    used[0]
}

fn call(service: &Arc<str>, route: &Route, seed: u64, index: usize, random: &mut ChaCha20Rng) -> Call {
    let subject = format!("s{}", random.random_range(0..SUBJECTS));
    let unique = format!("{seed}-{index}");
    let text = |text: &str| Value::Text(text.into());
    let named = |name: &str, value: Value| (name.to_owned(), value);
    let arguments = match route.name.as_str() {
        "call-setup" => vec![named("number", text(&subject))],
        "save-rule" => vec![named("number", text(&subject)), named("target", text(&unique))],
        "extension" => vec![named("extension", text(&subject))],
        "save-extension" => vec![named("extension", text(&subject)), named("desk_phone", text(&unique))],
        "call-record" => vec![named("call_id", text(&unique)), named("duration_s", Value::Int(60))],
        "post-listing" => {
            vec![
                named("listing", text(&unique)),
                named("title", text("anvil")),
                named("price_cents", Value::Int(12_000)),
            ]
        }
        "hold" => vec![named("listing", text(&unique)), named("buyer", text(&subject))],
        "release-hold" | "listing" => vec![named("listing", text(&subject))],
        "change-price" => vec![named("listing", text(&subject)), named("price_cents", Value::Int(9_000))],
        "price-history" => vec![named("kind", text(&subject))],
        _ => Vec::new(),
    };
    let request_id = (route.access == Access::Write && !route.repeatable).then_some(unique);
    Call { service: Arc::clone(service), route: route.name.as_str().into(), arguments, request_id }
}
