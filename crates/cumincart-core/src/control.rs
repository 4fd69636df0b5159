//! The control instances' decisions: the replicated log, failover, leases, service state, shares and permits.

pub mod permits;
pub mod shares;

use {
    cumincart_protocol::{
        announcement::Announcement,
        catalogue::Catalogue,
        change::{Change, Outcome},
        heartbeat::Heartbeat,
        name::{EndpointName, InstanceName, ServiceName},
        number::{ControlTerm, Incarnation, LogIndex, LogPosition, Revision, Term, Timeline},
        peer::{Leader, PeerBody},
        replication::{Ballot, DiskId, Member, Members, Record, ReplicationMessage, Snapshot},
        time::Instant,
    },
    rand_chacha::ChaCha20Rng,
    std::sync::Arc,
};

/// What a control instance is told when it starts.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This instance, with the identity of its disk.
    pub member: Member,
    /// This run.
    pub incarnation: Incarnation,
    /// The members that a new group starts with; used only where the data folder is empty.
    pub first_members: Members,
}

/// What the data folder holds when the process starts.
#[derive(Debug, Clone, Default)]
pub struct Stored {
    /// The last ballot.
    pub ballot: Ballot,
    /// The last snapshot.
    pub snapshot: Option<Snapshot>,
    /// The records after the snapshot, in order.
    pub records: Vec<Record>,
}

/// The identity of a request that the runtime will get an answer for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time passed; comes every `TICK_INTERVAL_MS`.
    Tick,
    /// A message of another control instance.
    Replication(InstanceName, ReplicationMessage),
    /// An entry instance's heartbeat.
    Heartbeat(Ticket, Box<Heartbeat>),
    /// An operator's change.
    Operator(Ticket, Change),
    /// An operator asks for the state as confirmed by a quorum.
    Status(Ticket),
    /// An endpoint announced itself here.
    Announced(Announcement),
    /// A promotion that was ordered ended.
    Promoted(Promotion, Result<PromotedState, PromotionError>),
}

/// A promotion that is ordered of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Promotion {
    /// The service.
    pub service: ServiceName,
    /// The term that the endpoint is to be primary of.
    pub term: Term,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its address, as `ip:port`.
    pub address: Arc<str>,
}

/// The state of an endpoint just promoted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromotedState {
    /// The timeline that its promotion opened.
    pub timeline: Timeline,
    /// The position at which that timeline began.
    pub start: LogPosition,
}

/// Why a promotion failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromotionError {
    /// The endpoint could not be reached; it was not promoted.
    NotReached,
    /// The answer did not come; it may have been promoted.
    Unknown,
}

/// Something that the runtime must do. Effects are carried out in order: a `Persist` is synced to disk before any
/// effect behind it.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Write to the data folder and sync.
    Persist(Persist),
    /// Send to another control instance; may be lost.
    Send(Member, ReplicationMessage),
    /// Answer a heartbeat, with `HeartbeatAnswer` or `NotLeader`.
    AnswerHeartbeat(Ticket, PeerBody),
    /// Answer an operator's change.
    AnswerOperator(Ticket, Result<Outcome, ControlRefusal>),
    /// Answer a status request.
    AnswerStatus(Ticket, Result<Box<Status>, ControlRefusal>),
    /// Promote an endpoint, and report with `Input::Promoted`.
    Promote(Promotion),
    /// A change of state worth a log line.
    Note(Arc<str>),
}

/// What to write to the data folder.
#[derive(Debug, Clone, PartialEq)]
pub enum Persist {
    /// The ballot, in place of the last.
    Ballot(Ballot),
    /// Records after the last.
    Append(Vec<Record>),
    /// Drops the record with this index and all after it.
    TruncateFrom(LogIndex),
    /// A snapshot; records up to its index may be dropped.
    Snapshot(Box<Snapshot>),
}

/// Why a control instance did not do what it was asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlRefusal {
    /// It does not lead; the change did not run here.
    NotLeader(Option<Leader>),
    /// Leadership was lost while the change was under way: it may be committed. Send it again under the same id.
    Unknown,
    /// No quorum answers; nothing was changed.
    NoQuorum,
}

/// The state of the system as a quorum confirmed it.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// The leader.
    pub leader: InstanceName,
    /// Its term.
    pub term: ControlTerm,
    /// The catalogue.
    pub catalogue: Arc<Catalogue>,
    /// The control group.
    pub members: Members,
    /// The entry instances that hold a lease or held one lately.
    pub instances: Vec<InstanceStatus>,
    /// The last announcement of each endpoint.
    pub endpoints: Vec<EndpointStatus>,
}

/// An entry instance as the leader knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceStatus {
    /// Its name.
    pub instance: InstanceName,
    /// Its run.
    pub incarnation: Incarnation,
    /// The revision that it confirmed.
    pub revision: Revision,
    /// How long its lease still runs; 0 when it has run out.
    pub lease_left_ms: u64,
}

/// An endpoint as the leader knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointStatus {
    /// Its last announcement.
    pub announcement: Announcement,
    /// How long ago it came.
    pub age_ms: u64,
}

/// All state of a control instance.
#[derive(Debug)]
pub struct Board {
    /// What it was told at the start.
    pub settings: Settings,
    /// The replicated state as applied here.
    pub catalogue: Arc<Catalogue>,
    /// Source of election timeouts.
    pub random: ChaCha20Rng,
    /// What entry instances hold of organisations' rates; kept by the leader.
    pub shares: shares::Ledger,
    /// What entry instances hold of endpoints' connections; kept by the leader.
    pub permits: permits::Ledger,
}

impl Board {
    /// A board from what the data folder held.
    pub fn open(settings: Settings, stored: Stored, random: ChaCha20Rng) -> Self {
        let catalogue = stored.snapshot.map(|snapshot| snapshot.catalogue).unwrap_or_default();
        Self {
            settings,
            catalogue,
            random,
            shares: shares::Ledger::default(),
            permits: permits::Ledger::default(),
        }
    }

    /// The identity of this instance's disk.
    pub fn disk(&self) -> &DiskId {
        &self.settings.member.disk
    }
}

/// Takes one input and appends what the runtime must do.
pub fn step(_board: &mut Board, _now: Instant, _input: Input, _out: &mut Vec<Effect>) {}
