//! The replicated state that every instance holds: lists, service state and database groups.

use {
    crate::{
        lists::Lists,
        name::{DomainName, EndpointName, InstanceName, ServiceName},
        number::{ListsRevision, LogPosition, Revision, Term, Timeline},
        sorted::{Keyed, SortedVec},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// All that is replicated to entry instances, as of one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// The index of the last log record applied.
    pub revision: Revision,
    /// The revision of the two lists alone.
    pub lists_revision: ListsRevision,
    /// Both lists.
    pub lists: Arc<Lists>,
    /// Failure domains that operators have taken out.
    pub domains_out: SortedVec<DomainName>,
    /// Instances that operators have taken out.
    pub instances_out: SortedVec<InstanceName>,
    /// The database groups.
    pub groups: SortedVec<Group>,
}

/// The database group of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// The service.
    pub service: ServiceName,
    /// The current term.
    pub term: Term,
    /// The primary of the current term; none while a failover is under way or before the first.
    pub primary: Option<EndpointName>,
    /// Whether the primary may take writes: false from the commit of a term until its promotion is confirmed.
    pub writable: bool,
    /// The endpoints of the group.
    pub endpoints: SortedVec<EndpointEntry>,
    /// Where each term began, oldest first.
    pub term_starts: Vec<TermStart>,
}

impl Keyed for Group {
    type Key = ServiceName;

    fn key(&self) -> &ServiceName {
        &self.service
    }
}

/// The position at which a term began; what an earlier term wrote beyond it is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermStart {
    /// The term.
    pub term: Term,
    /// The timeline that the primary's promotion opened.
    pub timeline: Timeline,
    /// The position of the new primary when it was promoted.
    pub position: LogPosition,
}

/// An endpoint as the catalogue knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Its name.
    pub name: EndpointName,
    /// The address of its PostgreSQL port, as `ip:port`.
    pub address: Arc<str>,
    /// Its failure domain.
    pub domain: DomainName,
    /// How many statements it runs at once.
    pub slots: u32,
    /// How many connections it accepts.
    pub connection_limit: u32,
    /// Whether it is leaving and gets no new work.
    pub leaving: bool,
}

impl Keyed for EndpointEntry {
    type Key = EndpointName;

    fn key(&self) -> &EndpointName {
        &self.name
    }
}

impl Catalogue {
    /// The group of a service.
    pub fn group(&self, service: &ServiceName) -> Option<&Group> {
        self.groups.get(service)
    }

    /// Whether operators have taken the failure domain out.
    pub fn is_domain_out(&self, domain: &DomainName) -> bool {
        self.domains_out.contains(domain)
    }
}
