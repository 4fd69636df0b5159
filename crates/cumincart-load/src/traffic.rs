//! The requests of a deployment's organisations, drawn from a seed.

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

/// Sessions of each organisation.
const SESSIONS: usize = 4;

/// Different numbers, listings and so on that an organisation asks for.
const SUBJECTS: u32 = 40;

/// How much likelier a read is than a write of the same service.
const READ_WEIGHT: u32 = 3;

/// One organisation as a source of requests.
#[derive(Debug, Clone)]
pub struct Organisation {
    /// Its name.
    pub name: Arc<str>,
    /// Its plan's rate.
    pub rate_per_s: f64,
    /// Its plan's burst.
    pub burst: u32,
    /// Its sessions.
    pub sessions: Vec<Session>,
    routes: Vec<(Arc<str>, Route)>,
}

/// A request that is due.
#[derive(Debug, Clone)]
pub struct ScheduledRequest {
    /// When, from the start of the run.
    pub due: Duration,
    /// Whose: an index into the organisations.
    pub organisation: usize,
    /// Which of its sessions.
    pub session: usize,
    /// The entry instance that the balancer would choose, an index.
    pub entry: usize,
    /// Whether it writes.
    pub is_write: bool,
    /// The age that a read accepts.
    pub max_staleness_ms: u64,
    /// The call.
    pub call: Call,
}

/// Which requests to draw.
#[derive(Debug, Clone)]
pub struct TrafficSettings {
    /// Fixes everything.
    pub seed: u64,
    /// How long.
    pub span: Duration,
    /// How many entry instances there are.
    pub entries: usize,
    /// Whether four in five requests go to the first fifth of the entry instances.
    pub skewed: bool,
    /// Which routes of those that the plan allows are used.
    pub includes_route: fn(&str, &Route) -> bool,
    /// Each organisation's requests, as a multiple of its rate, in the order of the organisations.
    pub load_factors: Vec<f64>,
}

/// The organisations of a deployment with fresh sessions.
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

/// The routes that a plan allows, with their services.
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

/// Draws the requests, in the order in which they are due.
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
