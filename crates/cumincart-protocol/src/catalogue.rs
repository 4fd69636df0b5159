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

/// The state that is replicated to entry instances, as of one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// The index of the last log record applied.
    pub revision: Revision,
    /// The revision of the two lists.
    pub lists_revision: ListsRevision,
    /// Both lists.
    pub lists: Arc<Lists>,
    /// Failure domains that operators have taken out of service.
    pub domains_out: SortedVec<DomainName>,
    /// Instances that operators have taken out of service.
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
    /// The primary of the current term; none during a failover and before the first primary is chosen.
    pub primary: Option<EndpointName>,
    /// Whether the primary may accept writes: false from the commit of a term until its promotion is confirmed.
    pub writable: bool,
    /// The endpoints of the group.
    pub endpoints: SortedVec<EndpointEntry>,
    /// The log positions at which the terms began, oldest first.
    pub term_starts: Vec<TermStart>,
    /// Which endpoints may hold acknowledged commits. Kept by control instances; entry instances don't use it.
    #[serde(default, skip_serializing_if = "CommitHolders::is_default")]
    pub commit_holders: CommitHolders,
}

/// Which endpoints of a group with synchronous replicas hold each acknowledged commit: the primary, and a number of
/// replicas. The default stands for a group without synchronous replicas.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitHolders {
    /// The last primary that may have acknowledged commits, if it is known.
    pub primary: Option<EndpointName>,
    /// The smallest number of replicas that hold any of these commits; 0 if commits are acknowledged by the primary alone.
    pub replicas: u32,
}

impl CommitHolders {
    fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

impl Keyed for Group {
    type Key = ServiceName;

    fn key(&self) -> &ServiceName {
        &self.service
    }
}

/// The position at which a term began. Anything that an earlier term wrote beyond it is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermStart {
    /// The term.
    pub term: Term,
    /// The timeline that the primary's promotion created.
    pub timeline: Timeline,
    /// The log position of the new primary when it was promoted.
    pub position: LogPosition,
}

/// An endpoint in the catalogue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Its name.
    pub name: EndpointName,
    /// The address of its PostgreSQL port, as `ip:port`.
    pub address: Arc<str>,
    /// Its failure domain.
    pub domain: DomainName,
    /// The number of statements that it runs concurrently.
    pub slots: u32,
    /// The number of connections that it accepts.
    pub connection_limit: u32,
    /// Whether it is leaving and gets no new requests.
    pub leaving: bool,
}

impl Keyed for EndpointEntry {
    type Key = EndpointName;

    fn key(&self) -> &EndpointName {
        &self.name
    }
}

impl Catalogue {
    /// Returns the group of a service.
    pub fn group(&self, service: &ServiceName) -> Option<&Group> {
        self.groups.get(service)
    }

    /// Returns whether operators have taken the failure domain out of service.
    pub fn is_domain_out(&self, domain: &DomainName) -> bool {
        self.domains_out.contains(domain)
    }
}
