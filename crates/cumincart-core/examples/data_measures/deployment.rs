//! The two deployments of today.

use {
    cumincart_protocol::{
        catalogue::{Catalogue, EndpointEntry, Group, TermStart},
        heartbeat::{PermitGrant, Share, ShareGrant, first_grant_number},
        lists::{
            Access, KeyDigest, Lists, Organisation, OrganisationList, Plan, PlanList, Route, RouteReference,
            Service,
        },
        number::{ControlTerm, LogPosition, Revision, Term, Timeline},
    },
    std::sync::Arc,
};

const CONNECTION_LIMIT: u32 = 30;
const ORGANISATIONS: usize = 8;

/// A deployment: sizes and one-way latencies.
#[derive(Debug, Clone)]
pub struct Deployment {
    pub name: &'static str,
    pub domains: Vec<&'static str>,
    pub instances: usize,
    pub groups: usize,
    pub slots: u32,
    pub distant_micros: u64,
    pub local_micros: u64,
    pub caller_micros: u64,
    pub open_micros: u64,
    pub service_micros: f64,
    pub catalogue: Arc<Catalogue>,
}

impl Deployment {
    pub fn telvara() -> Self {
        Self::new("telvara", vec!["sofia-a", "plovdiv-a", "varna-a"], 5, 1_500)
    }

    pub fn association() -> Self {
        Self::new("association", vec!["pl-quay", "cp-forest", "mb-bay"], 3, 500)
    }

    fn new(name: &'static str, domains: Vec<&'static str>, slots: u32, distant_micros: u64) -> Self {
        Self::sized(name, domains, slots, distant_micros, 3)
    }

    /// A deployment with another number of groups.
    pub fn sized(
        name: &'static str,
        domains: Vec<&'static str>,
        slots: u32,
        distant_micros: u64,
        groups: usize,
    ) -> Self {
        let mut deployment = Self {
            name,
            domains,
            instances: 7,
            groups,
            slots,
            distant_micros,
            local_micros: 150,
            caller_micros: 3_000,
            open_micros: 12_000,
            service_micros: 2_000.0,
            catalogue: Arc::default(),
        };
        deployment.catalogue = Arc::new(deployment.build_catalogue());
        deployment
    }

    pub fn service(group: usize) -> String {
        format!("service-{group:04}")
    }

    fn endpoint(&self, group: usize, domain: usize) -> String {
        format!("db-{:05}", group * self.domains.len() + domain)
    }

    pub fn endpoint_index(&self, name: &str) -> usize {
        name[3..].parse().expect("the deployment names its endpoints so")
    }

    pub fn key(organisation: usize) -> [u8; 32] {
        [organisation as u8 + 1; 32]
    }

    pub fn organisations() -> usize {
        ORGANISATIONS
    }

    fn build_catalogue(&self) -> Catalogue {
        let services = (0..self.groups)
            .map(|group| Service { name: Self::service(group).into(), routes: routes() })
            .collect();
        let references = (0..self.groups).flat_map(|group| {
            routes()
                .into_iter()
                .map(move |route| RouteReference { service: Self::service(group).into(), route: route.name })
        });
        let plan = Plan {
            name: "plan".into(),
            routes: references.collect(),
            rate_per_s: 100_000.0,
            burst: 100_000,
            weight: 1,
        };
        let organisations = (0..ORGANISATIONS)
            .map(|index| Organisation {
                name: format!("organisation-{index}").into(),
                plan: "plan".into(),
                keys: vec![KeyDigest {
                    id: format!("key-{index}").into(),
                    sha256: Self::key(index)
                        .iter()
                        .map(|byte| format!("{byte:02x}"))
                        .collect::<String>()
                        .into(),
                }],
            })
            .collect();
        let lists = Lists {
            organisations: OrganisationList { organisations },
            plans: PlanList { services, plans: vec![plan] },
        };
        let groups = (0..self.groups).map(|group| self.group(group)).collect();
        Catalogue { revision: Revision(1), lists: Arc::new(lists), groups, ..Catalogue::default() }
    }

    fn group(&self, group: usize) -> Group {
        let entry = |domain: usize| EndpointEntry {
            name: self.endpoint(group, domain).into(),
            address: "127.0.0.1:5432".into(),
            domain: self.domains[domain].into(),
            slots: self.slots,
            connection_limit: CONNECTION_LIMIT,
            leaving: false,
        };
        Group {
            service: Self::service(group).into(),
            term: Term(1),
            primary: Some(self.endpoint(group, group % self.domains.len()).into()),
            writable: true,
            endpoints: (0..self.domains.len()).map(entry).collect(),
            term_starts: vec![TermStart { term: Term(1), timeline: Timeline(1), position: LogPosition(0) }],
        }
    }

    pub fn shares(&self) -> Vec<ShareGrant> {
        let share = Share { rate_milli_per_s: 10_000_000, burst_milli: 10_000_000 };
        (0..ORGANISATIONS)
            .map(|index| ShareGrant {
                organisation: format!("organisation-{index}").into(),
                grant_number: first_grant_number(ControlTerm(1)) + 1,
                replaces: 0,
                share,
                tokens_milli: 10_000_000,
                next_token_ms: 0,
            })
            .collect()
    }

    pub fn permits(&self) -> Vec<PermitGrant> {
        let permits = CONNECTION_LIMIT / u32::try_from(self.instances).unwrap_or(1);
        let entries = self.catalogue.groups.iter().flat_map(|group| &group.endpoints);
        entries
            .map(|entry| PermitGrant {
                endpoint: entry.name.clone(),
                grant_number: first_grant_number(ControlTerm(1)) + 1,
                replaces: 0,
                permits,
            })
            .collect()
    }
}

fn routes() -> Vec<Route> {
    let route = |name: &str, access, open, max_staleness_ms| Route {
        name: name.into(),
        access,
        open,
        max_staleness_ms,
        repeatable: true,
        deadline_ms: 2_000,
        replicated: false,
        transaction: false,
        statement: None,
    };
    vec![
        route("browse", Access::Read, false, 10_000),
        route("post", Access::Write, false, 0),
        route("open-browse", Access::Read, true, 10_000),
        route("open-post", Access::Write, true, 0),
    ]
}
