//! The control log: its records, and the messages with which control instances replicate it.

use {
    crate::{
        announcement::{Announcement, Presence, PresenceReport, ReportOutcome},
        catalogue::EndpointEntry,
        change::{Change, ChangeId, Outcome, VersionedDocument},
        name::{DomainName, EndpointName, InstanceName, ServiceName},
        number::{ControlTerm, Incarnation, LogIndex, LogPosition, Term, Timeline},
        sorted::{Keyed, SortedVec},
        time::Instant,
        usage::{FixedUsage, UsageWindow},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// One record of the control log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Its index.
    pub index: LogIndex,
    /// The election term in which it was proposed.
    pub term: ControlTerm,
    /// The command that it carries.
    pub command: Command,
}

/// The change that a committed record makes to the replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Marks the start of a leader's term; changes nothing.
    Open,
    /// Applies an operator's change.
    Operator(Change),
    /// Adds an endpoint to a group, or changes its entry.
    PutEndpoint(ServiceName, EndpointEntry),
    /// Removes an endpoint from a group.
    RemoveEndpoint(ServiceName, EndpointName),
    /// Begins a new term of a group and fences the previous one. The primary may not accept writes yet.
    BeginTerm {
        /// The group's service.
        service: ServiceName,
        /// The new term.
        term: Term,
        /// The primary of the new term; none until one is chosen.
        primary: Option<EndpointName>,
    },
    /// Confirms the promotion of a term's primary, which may accept writes from now on.
    OpenTerm {
        /// The group's service.
        service: ServiceName,
        /// The term.
        term: Term,
        /// The primary.
        primary: EndpointName,
        /// The timeline that the promotion opened.
        timeline: Timeline,
        /// The log position at which the term began.
        start: LogPosition,
    },
    /// Records an incarnation of an entry instance, before it receives its first lease.
    PutRun(InstanceIncarnation),
    /// Removes an incarnation that no longer holds a lease.
    RemoveRun(InstanceIncarnation),
    /// Changes the members of the control group. Takes effect as soon as it is appended, before it is committed.
    Members(Members),
    /// Sets the number of replicas that hold each commit of a group, once all its earlier commits are on as many.
    SetCommitReplicas {
        /// The group's service.
        service: ServiceName,
        /// The number of replicas; 0 if commits are acknowledged by the primary alone.
        replicas: u32,
    },
    /// Fixes the counts of an accounting window before they are reported.
    FixUsage(Box<FixedUsage>),
}

/// An entry instance together with one of its incarnations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceIncarnation {
    /// The instance.
    pub instance: InstanceName,
    /// The incarnation.
    pub incarnation: Incarnation,
}

impl Keyed for InstanceIncarnation {
    type Key = InstanceName;

    fn key(&self) -> &InstanceName {
        &self.instance
    }
}

/// The control instances that form the group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Instances whose votes and acknowledgements count towards a quorum.
    pub voters: SortedVec<Member>,
    /// Instances that receive the log but don't count towards a quorum: they catch up, or stand by to take a voter's
    /// place.
    pub learners: SortedVec<Member>,
    /// The voters before a change that is in progress. Until it is complete, a quorum needs a majority of these as well
    /// (joint consensus; Ongaro 2014, section 4.3).
    #[serde(default, skip_serializing_if = "SortedVec::is_empty")]
    pub outgoing: SortedVec<Member>,
}

/// A control instance and the identity of its disk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub instance: InstanceName,
    /// The identity of its data folder; changes if the disk is wiped.
    pub disk: DiskId,
    /// The address at which other instances reach it, as `ip:port`.
    pub peer_address: Arc<str>,
    /// Its failure domain; `None` until it has been recorded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub domain: Option<DomainName>,
}

impl Keyed for Member {
    type Key = InstanceName;

    fn key(&self) -> &InstanceName {
        &self.instance
    }
}

/// The identity of a data folder, generated when the folder is created.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DiskId(pub Arc<str>);

impl DiskId {
    /// Returns the identity of a disk that is not known yet. Initial members come from the settings, which don't name
    /// disks.
    pub fn unbound() -> Self {
        Self("".into())
    }

    /// Returns whether this is the identity of an existing data folder.
    pub fn is_bound(&self) -> bool {
        !self.0.is_empty()
    }
}

/// The election term and vote of a control instance. Synced to disk before any message that depends on them is sent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballot {
    /// The highest election term that this instance has seen.
    pub term: ControlTerm,
    /// The candidate that it voted for in that term.
    pub voted_for: Option<InstanceName>,
}

/// The whole state of the state machine at an index, which replaces the log up to there.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last record that it covers.
    pub index: LogIndex,
    /// That record's election term.
    pub term: ControlTerm,
    /// The members as of that record.
    pub members: Members,
    /// The catalogue.
    pub catalogue: Arc<crate::catalogue::Catalogue>,
    /// The outcomes of operators' changes, returned when a change is sent again.
    pub outcomes: Vec<StoredOutcome>,
    /// The document of the configuration in force, if it was set by version.
    #[serde(default)]
    pub document: Option<VersionedDocument>,
    /// The incarnations of entry instances that may hold leases.
    #[serde(default)]
    pub runs: SortedVec<InstanceIncarnation>,
    /// The last closed accounting windows.
    #[serde(default, skip_serializing_if = "SortedVec::is_empty")]
    pub usage: SortedVec<UsageWindow>,
}

/// The outcome of a change, returned when the change is sent again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredOutcome {
    /// The change's id.
    pub id: ChangeId,
    /// Its outcome.
    pub outcome: Outcome,
}

impl Keyed for StoredOutcome {
    type Key = ChangeId;

    fn key(&self) -> &ChangeId {
        &self.id
    }
}

/// A message between control instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplicationMessage {
    /// The sender's disk. Votes and acknowledgements from a disk that belongs to no member don't count.
    #[serde(rename = "d")]
    pub disk: DiskId,
    /// The address at which other instances reach the sender, as `ip:port`.
    #[serde(rename = "a")]
    pub peer_address: Arc<str>,
    /// The sender's incarnation.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// The sender's election term.
    #[serde(rename = "t")]
    pub term: ControlTerm,
    /// The sender's failure domain. Only sent with votes, from which the first voters are recorded.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub domain: Option<DomainName>,
    /// The content.
    #[serde(rename = "b")]
    pub body: ReplicationBody,
}

/// The content of a message between control instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ReplicationBody {
    /// Asks whether the sender could win an election, without raising the term.
    PreVote(VoteRequest),
    /// The answer to `PreVote`.
    PreVoteAnswer(VoteAnswer),
    /// Asks for a vote.
    Vote(VoteRequest),
    /// The answer to `Vote`.
    VoteAnswer(VoteAnswer),
    /// Sends records, or no records as a heartbeat.
    #[serde(rename = "A")]
    Append(Append),
    /// The answer to `Append`.
    #[serde(rename = "a")]
    AppendAnswer(AppendAnswer),
    /// Sends a snapshot to an instance that is too far behind to catch up from the log.
    Install(Box<Snapshot>),
    /// Forwards announcements of endpoints to the leader.
    Announcements(Vec<Announcement>),
    /// Forwards presences of endpoints to the leader.
    Presences(Vec<Presence>),
    /// Passes an endpoint's report on to the leader, under a number of the sender.
    Report(u64, PresenceReport),
    /// The answer to `Report`, with its number.
    ReportOutcome(u64, ReportOutcome),
    /// Asks the leader to add the sender as a learner.
    Join(Member),
    /// Asks the leader to give the sender's place as a voter to a learner, since the sender is about to stop.
    Leave,
}

/// A candidate's request for a vote.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The term in which the candidate asks for the vote.
    pub term: ControlTerm,
    /// The index of the candidate's last record.
    pub last_index: LogIndex,
    /// The term of the candidate's last record.
    pub last_term: ControlTerm,
}

/// The answer to a [`VoteRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteAnswer {
    /// The term of the request.
    pub term: ControlTerm,
    /// Whether the vote is granted.
    pub granted: bool,
}

/// Records that the leader sends to a follower.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Append {
    /// The index of the record before the first one sent.
    #[serde(rename = "p")]
    pub previous_index: LogIndex,
    /// That record's term.
    #[serde(rename = "q")]
    pub previous_term: ControlTerm,
    /// The records.
    #[serde(rename = "r")]
    pub records: Vec<Record>,
    /// The leader's commit index.
    #[serde(rename = "c")]
    pub commit: LogIndex,
    /// The leader's clock when it sent the message. Returned in the answer, which confirms the leadership as of this
    /// time.
    #[serde(rename = "s")]
    pub sent_at: Instant,
}

/// The answer to an [`Append`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// The leader's clock, copied from the [`Append`].
    #[serde(rename = "s")]
    pub sent_at: Instant,
    /// Whether the follower's log matched; if so, `matched` is the last index known to match.
    #[serde(rename = "o")]
    pub success: bool,
    /// The last matching index; on failure, a hint at which index to try next.
    #[serde(rename = "m")]
    pub matched: LogIndex,
}
