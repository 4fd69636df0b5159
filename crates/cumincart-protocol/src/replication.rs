//! The control log: its records, and the messages by which control instances replicate it.

use {
    crate::{
        announcement::{Announcement, Presence},
        catalogue::EndpointEntry,
        change::{Change, ChangeId, Outcome, VersionedDocument},
        name::{EndpointName, InstanceName, ServiceName},
        number::{ControlTerm, Incarnation, LogIndex, LogPosition, Term, Timeline},
        sorted::{Keyed, SortedVec},
        time::Instant,
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
    /// What it does.
    pub command: Command,
}

/// What a committed record does to the replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Opens a leader's term; changes nothing.
    Open,
    /// An operator's change.
    Operator(Change),
    /// Adds an endpoint to a group, or changes its entry.
    PutEndpoint(ServiceName, EndpointEntry),
    /// Removes an endpoint from a group.
    RemoveEndpoint(ServiceName, EndpointName),
    /// Begins a term of a group with a primary that may not take writes yet; fences the term before.
    BeginTerm {
        /// The group's service.
        service: ServiceName,
        /// The new term.
        term: Term,
        /// The primary to be; none while it is not chosen.
        primary: Option<EndpointName>,
    },
    /// The promotion of a term's primary is confirmed: it may take writes.
    OpenTerm {
        /// The group's service.
        service: ServiceName,
        /// The term.
        term: Term,
        /// The primary.
        primary: EndpointName,
        /// The timeline that the promotion opened.
        timeline: Timeline,
        /// Where the term began.
        start: LogPosition,
    },
    /// Writes a run of an entry instance down, before it gets its first lease.
    PutRun(Run),
    /// Forgets a run that holds no lease any more.
    RemoveRun(Run),
    /// Changes the members of the control group; takes effect when it is appended.
    Members(Members),
}

/// One run of an entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The instance.
    pub instance: InstanceName,
    /// The run.
    pub incarnation: Incarnation,
}

impl Keyed for Run {
    type Key = InstanceName;

    fn key(&self) -> &InstanceName {
        &self.instance
    }
}

/// The control instances that form the group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Instances whose votes and acknowledgements count.
    pub voters: SortedVec<Member>,
    /// Instances that receive the log and don't count yet.
    pub learners: SortedVec<Member>,
}

/// One control instance and the identity of its disk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub instance: InstanceName,
    /// The identity of its data folder; a wiped disk has another.
    pub disk: DiskId,
    /// The address for other instances, as `ip:port`.
    pub peer_address: Arc<str>,
}

impl Keyed for Member {
    type Key = InstanceName;

    fn key(&self) -> &InstanceName {
        &self.instance
    }
}

/// The identity of a data folder, made when the folder is made.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DiskId(pub Arc<str>);

impl DiskId {
    /// The identity of a disk that is not known yet, as settings name the first members.
    pub fn unbound() -> Self {
        Self("".into())
    }

    /// Whether this is the identity of a real data folder.
    pub fn is_bound(&self) -> bool {
        !self.0.is_empty()
    }
}

/// What must be synced before a message that depends on it is sent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballot {
    /// The greatest election term that this instance has seen.
    pub term: ControlTerm,
    /// Whom it voted for in that term.
    pub voted_for: Option<InstanceName>,
}

/// The state machine's whole state, in place of the log up to an index.
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
    /// The outcomes of operators' changes, for resends.
    pub outcomes: Vec<RememberedOutcome>,
    /// The document of the configuration in force, where one was put in force by version.
    #[serde(default)]
    pub document: Option<VersionedDocument>,
    /// The runs of entry instances that may hold leases.
    #[serde(default)]
    pub runs: SortedVec<Run>,
}

/// The outcome of a change, kept for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RememberedOutcome {
    /// The change's id.
    pub id: ChangeId,
    /// Its outcome.
    pub outcome: Outcome,
}

impl Keyed for RememberedOutcome {
    type Key = ChangeId;

    fn key(&self) -> &ChangeId {
        &self.id
    }
}

/// A message between control instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplicationMessage {
    /// The sender's disk; votes and acknowledgements of a disk that is not a member's don't count.
    #[serde(rename = "d")]
    pub disk: DiskId,
    /// The address at which other instances reach the sender, as `ip:port`.
    #[serde(rename = "a")]
    pub peer_address: Arc<str>,
    /// The sender's run.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// The sender's election term.
    #[serde(rename = "t")]
    pub term: ControlTerm,
    /// The content.
    #[serde(rename = "b")]
    pub body: ReplicationBody,
}

/// The content of a message between control instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ReplicationBody {
    /// Asks whether a candidate could win, without raising terms.
    PreVote(VoteRequest),
    /// Answers `PreVote`.
    PreVoteAnswer(VoteAnswer),
    /// Asks for a vote.
    Vote(VoteRequest),
    /// Answers `Vote`.
    VoteAnswer(VoteAnswer),
    /// Sends records, or none as a heartbeat.
    #[serde(rename = "A")]
    Append(Append),
    /// Answers `Append`.
    #[serde(rename = "a")]
    AppendAnswer(AppendAnswer),
    /// Sends a snapshot to an instance that is too far behind.
    Install(Box<Snapshot>),
    /// Passes announcements of endpoints on to the leader.
    Announcements(Vec<Announcement>),
    /// Passes presences of endpoints on to the leader.
    Presences(Vec<Presence>),
    /// Asks the leader to take the sender in as a learner.
    Join(Member),
}

/// A candidate's claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The term that the vote is for.
    pub term: ControlTerm,
    /// The index of the candidate's last record.
    pub last_index: LogIndex,
    /// The term of the candidate's last record.
    pub last_term: ControlTerm,
}

/// The answer to a candidate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteAnswer {
    /// The term that the vote was asked for.
    pub term: ControlTerm,
    /// Whether the vote is given.
    pub granted: bool,
}

/// Records for a follower.
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
    /// The leader's clock when it sent this; comes back in the answer and confirms its leadership.
    #[serde(rename = "s")]
    pub sent_at: Instant,
}

/// A follower's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// The leader's clock from the message that this answers.
    #[serde(rename = "s")]
    pub sent_at: Instant,
    /// Whether the records matched; then `matched` is the last index known to be the same.
    #[serde(rename = "o")]
    pub success: bool,
    /// The last matching index, or a hint where to try next.
    #[serde(rename = "m")]
    pub matched: LogIndex,
}
