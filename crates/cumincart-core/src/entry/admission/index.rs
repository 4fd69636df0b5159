//! An index of the lists that finds keys, organisations and routes by binary search.

use {
    cumincart_protocol::{
        heartbeat::Share,
        lists::{Lists, Organisation, Plan, Route},
        name::{OrganisationName, RouteName, ServiceName},
    },
    std::{fmt, sync::Arc},
    subtle::ConstantTimeEq,
};

/// The number of digest bytes that the binary search compares, whose running time depends on them. The whole
/// digest is then compared in constant time.
const PREFIX_BYTES: usize = 8;

/// Keys, organisations and routes of one revision of the lists.
#[derive(Debug, Default)]
pub struct Index {
    keys: Vec<KeyEntry>,
    organisations: Vec<OrganisationEntry>,
    /// Positions of organisations, sorted by name.
    by_name: Vec<usize>,
    routes: Vec<RouteEntry>,
}

struct KeyEntry {
    digest: [u8; 32],
    organisation: usize,
}

/// Leaves the digest out, so that no log or dump of the state shows it.
impl fmt::Debug for KeyEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyEntry").field("organisation", &self.organisation).finish_non_exhaustive()
    }
}

/// An organisation with the limits and routes of its plan.
#[derive(Debug)]
pub struct OrganisationEntry {
    /// Its name.
    pub name: OrganisationName,
    /// Its weight in the queue of an endpoint.
    pub weight: u32,
    /// Its rate and burst over the whole fleet.
    pub limit: Share,
    /// Positions of the routes that it may use, sorted.
    routes: Vec<usize>,
}

/// A route with its service.
#[derive(Debug)]
pub struct RouteEntry {
    /// The service.
    pub service: ServiceName,
    /// The route.
    pub route: Arc<Route>,
}

impl OrganisationEntry {
    /// Whether the plan allows the route at this position of the index.
    pub fn may_use(&self, route: usize) -> bool {
        self.routes.binary_search(&route).is_ok()
    }
}

impl Index {
    /// Builds the index of validated lists.
    pub fn build(lists: &Lists) -> Self {
        let mut index = Self { routes: routes_of(lists), ..Self::default() };
        for organisation in &lists.organisations.organisations {
            index.add_organisation(lists, organisation);
        }
        index.keys.sort_by_key(|key| key.digest);
        index.by_name = (0..index.organisations.len()).collect();
        index.by_name.sort_by(|a, b| index.organisations[*a].name.cmp(&index.organisations[*b].name));
        index
    }

    /// Returns a route of a service, with its position.
    pub fn route(&self, service: &ServiceName, route: &RouteName) -> Option<(usize, &RouteEntry)> {
        let position = self
            .routes
            .binary_search_by(|entry| (&entry.service, &entry.route.name).cmp(&(service, route)))
            .ok()?;
        Some((position, &self.routes[position]))
    }

    /// Returns the organisation that a key's digest belongs to.
    pub fn organisation_by_key(&self, digest: &[u8; 32]) -> Option<&OrganisationEntry> {
        let prefix = &digest[..PREFIX_BYTES];
        let start = self.keys.partition_point(|key| &key.digest[..PREFIX_BYTES] < prefix);
        let candidates = self.keys[start..].iter().take_while(|key| &key.digest[..PREFIX_BYTES] == prefix);
        let mut found = None;
        for key in candidates {
            if bool::from(key.digest.ct_eq(digest)) {
                found = Some(&self.organisations[key.organisation]);
            }
        }
        found
    }

    /// Returns the organisation of this name.
    pub fn organisation(&self, name: &OrganisationName) -> Option<&OrganisationEntry> {
        let found =
            self.by_name.binary_search_by(|position| self.organisations[*position].name.cmp(name)).ok()?;
        Some(&self.organisations[self.by_name[found]])
    }

    fn add_organisation(&mut self, lists: &Lists, organisation: &Organisation) {
        let Some(plan) = lists.plans.plans.iter().find(|plan| plan.name == organisation.plan) else {
            return;
        };
        let position = self.organisations.len();
        let digests = organisation.keys.iter().filter_map(|key| parse_digest(&key.sha256));
        self.keys.extend(digests.map(|digest| KeyEntry { digest, organisation: position }));
        let routes = self.routes_of_plan(plan);
        self.organisations.push(OrganisationEntry {
            name: organisation.name.clone(),
            weight: plan.weight,
            limit: Share::of_plan(plan),
            routes,
        });
    }

    fn routes_of_plan(&self, plan: &Plan) -> Vec<usize> {
        let mut positions: Vec<usize> = plan
            .routes
            .iter()
            .filter_map(|reference| self.route(&reference.service, &reference.route))
            .map(|(position, _)| position)
            .collect();
        positions.sort_unstable();
        positions
    }
}

fn routes_of(lists: &Lists) -> Vec<RouteEntry> {
    let mut routes = Vec::new();
    for service in &lists.plans.services {
        let entries = service
            .routes
            .iter()
            .map(|route| RouteEntry { service: service.name.clone(), route: Arc::new(route.clone()) });
        routes.extend(entries);
    }
    routes.sort_by(|a, b| (&a.service, &a.route.name).cmp(&(&b.service, &b.route.name)));
    routes
}

fn parse_digest(text: &str) -> Option<[u8; 32]> {
    let bytes = text.as_bytes();
    if bytes.len() != 64 {
        return None;
    }
    let mut digest = [0; 32];
    for (byte, pair) in digest.iter_mut().zip(bytes.chunks_exact(2)) {
        *byte = hex_value(pair[0])? << 4 | hex_value(pair[1])?;
    }
    Some(digest)
}

fn hex_value(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    u8::try_from(value).ok()
}
