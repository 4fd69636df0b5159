//! The two present deployments.

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

/// The size of a deployment and its one-way latencies.
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
    /// The rate of the last organisation's plan, if that organisation has a plan of its own.
    pub limited_per_s: Option<f64>,
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

    /// Creates a deployment with a given number of groups.
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
            limited_per_s: None,
            catalogue: Arc::default(),
        };
        deployment.catalogue = Arc::new(deployment.build_catalogue());
        deployment
    }

    /// Returns the deployment with the last organisation on a plan of its own, with this rate and an equal
    /// burst.
    pub fn limited(mut self, rate_per_s: f64) -> Self {
        self.limited_per_s = Some(rate_per_s);
        self.catalogue = Arc::new(self.build_catalogue());
        self
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
        let rate_per_s = self.limited_per_s.unwrap_or(plan.rate_per_s);
        let limited = Plan { name: "limited".into(), rate_per_s, burst: rate_per_s as u32, ..plan.clone() };
        let organisations = (0..ORGANISATIONS)
            .map(|index| Organisation {
                name: format!("organisation-{index}").into(),
                plan: if index + 1 == ORGANISATIONS { "limited".into() } else { "plan".into() },
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
            plans: PlanList { services, plans: vec![plan, limited] },
            ..Lists::default()
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
            commit_holders: Default::default(),
        }
    }

    pub fn shares(&self) -> Vec<ShareGrant> {
        (0..ORGANISATIONS).map(|index| self.share(index)).collect()
    }

    /// Returns an organisation's share at one instance: an equal part of its rate.
    fn share(&self, organisation: usize) -> ShareGrant {
        let limited = self.limited_per_s.filter(|_| organisation + 1 == ORGANISATIONS);
        let rate_per_s = limited.unwrap_or(70_000.0) / self.instances as f64;
        let milli = (rate_per_s * 1_000.0) as u64;
        ShareGrant {
            organisation: format!("organisation-{organisation}").into(),
            grant_number: first_grant_number(ControlTerm(1)) + 1,
            replaces: 0,
            share: Share { rate_milli_per_s: milli, burst_milli: milli },
            basis: Share::default(),
            tokens_milli: milli,
            next_token_ms: 0,
        }
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
                kept: 0,
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
