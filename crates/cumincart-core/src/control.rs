//! The control instances' decisions: the replicated log, failover, leases, service state, shares and permits.

pub mod announcements;
pub mod catalogue;
pub mod choice;
pub mod commit;
mod configuration;
pub mod detection;
pub mod dump;
pub mod election;
pub mod failover;
pub mod holder_key;
pub mod leases;
pub mod log;
pub mod members;
pub mod operators;
pub mod permits;
pub mod presence;
pub mod probe;
pub mod promotion;
pub mod read_index;
pub mod replicate;
pub mod runs;
pub mod service_state;
pub mod shares;
pub mod snapshot;
pub mod status;
pub mod voting;

pub use {
    probe::Probe,
    promotion::{PromotedState, Promotion, PromotionError},
    status::{EndpointStatus, InstanceStatus, Status},
};

use {
    cumincart_protocol::{
        announcement::{Announcement, LogState, Presence},
        catalogue::Catalogue,
        change::{Change, Outcome, VersionedDocument},
        heartbeat::Heartbeat,
        name::InstanceName,
        number::{ControlTerm, Incarnation, LogIndex},
        peer::{Leader, PeerBody},
        replication::{
            Ballot, DiskId, Member, Members, Record, ReplicationBody, ReplicationMessage, Snapshot,
        },
        sorted::SortedVec,
        time::Instant,
    },
    rand_chacha::ChaCha20Rng,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// What a control instance is told when it starts.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This instance, with the identity of its disk.
    pub member: Member,
    /// This run.
    pub incarnation: Incarnation,
    /// The members that a new group starts with, with `DiskId::unbound`; used only where the data folder is empty.
    /// They are written down with their disks once all of them have voted for the first leader.
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
    /// An endpoint that does not tell its log's state said here that it is there.
    Present(Presence),
    /// A probe ended; none where the endpoint did not answer.
    Probed(Probe, Option<LogState>),
    /// A promotion that was ordered ended.
    Promoted(Promotion, Result<PromotedState, PromotionError>),
}

/// Something that the runtime must do. Effects are carried out in order: a `Persist` is synced to disk before any
/// effect behind it.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Write to the data folder and sync.
    Persist(Persist),
    /// Send to another control instance; may be lost.
    Send(Member, ReplicationMessage),
    /// Answer a heartbeat, with `HeartbeatAnswer` or `NotLeader`. The last heartbeat of an instance may be answered
    /// again when a change is committed, so the runtime keeps the ticket until the instance's next heartbeat.
    AnswerHeartbeat(Ticket, PeerBody),
    /// Answer an operator's change.
    AnswerOperator(Ticket, Result<Outcome, ControlRefusal>),
    /// Answer a status request.
    AnswerStatus(Ticket, Result<Box<Status>, ControlRefusal>),
    /// Promote an endpoint, and report with `Input::Promoted`.
    Promote(Promotion),
    /// Ask an endpoint for its log's state, and report with `Input::Probed`.
    Probe(Probe),
    /// A change of state worth a log line.
    Log(Arc<str>),
}

/// What to write to the data folder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
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

/// All state of a control instance.
#[derive(Debug)]
pub struct Core {
    /// What it was told at the start.
    pub settings: Settings,
    /// The replicated state as applied here.
    pub catalogue: Arc<Catalogue>,
    /// Source of election timeouts.
    pub random: ChaCha20Rng,
    /// The replicated log.
    pub log: log::Log,
    /// Ballot, role and leader.
    pub election: election::Election,
    /// What the leader knows of its followers.
    pub replication: replicate::Replication,
    /// The outcomes of operators' changes; replicated.
    pub outcomes: operators::Outcomes,
    /// The document of the configuration in force; replicated.
    pub document: Option<VersionedDocument>,
    /// Control instances to ask where this one's own list may be outdated, by their usual names.
    pub seeds: SortedVec<Member>,
    /// What endpoints that are probed said of themselves; kept by the leader.
    pub presences: presence::Presences,
    /// The probes of endpoints; kept by the leader.
    pub probes: probe::Probes,
    /// The runs of entry instances that may hold leases.
    pub runs: runs::Runs,
    /// Operators who wait for a commit.
    pub pending: operators::Pending,
    /// Questions that wait for a confirmation of the leadership.
    pub reads: read_index::Reads,
    /// The catalogue's last changes.
    pub recent: catalogue::Recent,
    /// The leases of entry instances; kept by the leader.
    pub leases: leases::Leases,
    /// The endpoints' last announcements; kept by the leader.
    pub announcements: announcements::Announcements,
    /// Changes of primary; kept by the leader.
    pub failover: failover::Failover,
    /// What entry instances hold of organisations' rates; kept by the leader.
    pub shares: shares::Ledger,
    /// What entry instances hold of endpoints' connections; kept by the leader.
    pub permits: permits::Ledger,
    /// When the next request to be taken in as a member may be sent.
    pub next_join_at: Instant,
}

impl Core {
    /// A core from what the data folder held.
    pub fn open(settings: Settings, stored: Stored, random: ChaCha20Rng) -> Self {
        let snapshot = stored.snapshot.unwrap_or_else(|| empty_snapshot(&settings));
        Self {
            settings,
            catalogue: snapshot.catalogue,
            random,
            log: log::Log::open(snapshot.index, snapshot.term, snapshot.members, stored.records),
            election: election::Election::open(stored.ballot),
            replication: replicate::Replication::default(),
            outcomes: operators::Outcomes::open(snapshot.outcomes),
            document: snapshot.document,
            runs: runs::Runs::open(snapshot.runs),
            seeds: SortedVec::new(),
            presences: presence::Presences::default(),
            probes: probe::Probes::default(),
            pending: operators::Pending::default(),
            reads: read_index::Reads::default(),
            recent: catalogue::Recent::default(),
            leases: leases::Leases::default(),
            announcements: announcements::Announcements::default(),
            failover: failover::Failover::default(),
            shares: shares::Ledger::default(),
            permits: permits::Ledger::default(),
            next_join_at: Instant::ZERO,
        }
    }

    /// The identity of this instance's disk.
    pub fn disk(&self) -> &DiskId {
        &self.settings.member.disk
    }
}

/// Takes one input and appends what the runtime must do.
pub fn step(core: &mut Core, now: Instant, input: Input, out: &mut Vec<Effect>) {
    match input {
        Input::Tick => on_tick(core, now, out),
        Input::Replication(from, message) => on_message(core, now, &from, message, out),
        Input::Heartbeat(ticket, heartbeat) => {
            core.failover.reports.take(now, &heartbeat);
            read_index::ask(core, now, ticket, read_index::Question::Heartbeat(heartbeat), out);
        }
        Input::Operator(ticket, change) => operators::on_change(core, now, ticket, change, out),
        Input::Status(ticket) => read_index::ask(core, now, ticket, read_index::Question::Status, out),
        Input::Announced(announcement) => announcements::on_announced(core, now, announcement, out),
        Input::Present(presence) => presence::on_present(core, now, presence, out),
        Input::Probed(probe, answer) => probe::on_probed(core, now, &probe, answer, out),
        Input::Promoted(promotion, result) => promotion::on_promoted(core, now, &promotion, &result, out),
    }
    commit::advance(core, now, out);
    failover::on_news(core, now, out);
    commit::advance(core, now, out);
    leases::push(core, out);
}

fn on_tick(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    election::on_tick(core, now, out);
    members::join_if_outside(core, now, out);
    if !core.election.is_leader() {
        return;
    }
    replicate::on_tick(core, now, out);
    leases::on_tick(core, now, out);
    announcements::on_tick(core, now, out);
    presence::on_tick(core, now, out);
    probe::on_tick(core, now, out);
    commit::advance(core, now, out);
    failover::on_tick(core, now, out);
}

fn on_message(
    core: &mut Core,
    now: Instant,
    from: &InstanceName,
    message: ReplicationMessage,
    out: &mut Vec<Effect>,
) {
    let Some(sender) = election::sender(core, from, &message) else { return };
    let is_old = message.term < core.election.ballot.term;
    match message.body {
        ReplicationBody::PreVote(ask) => voting::on_pre_vote(core, now, &sender, &ask, out),
        ReplicationBody::Vote(ask) => voting::on_vote(core, now, &sender, &ask, out),
        ReplicationBody::Join(member) => members::on_join(core, now, &member, out),
        ReplicationBody::Announcements(list) => announcements::on_passed_on(core, now, list, out),
        ReplicationBody::Presences(list) => presence::on_passed_on(core, now, list, out),
        ReplicationBody::Append(append) if is_old => {
            replicate::refuse_old_leader(core, &sender, &append, out);
        }
        ReplicationBody::Install(_) if is_old => {}
        body => {
            election::observe_term(core, now, message.term, out);
            on_body_of_term(core, now, &sender, body, out);
        }
    }
}

/// Takes the messages that count only in the sender's term.
fn on_body_of_term(
    core: &mut Core,
    now: Instant,
    sender: &Member,
    body: ReplicationBody,
    out: &mut Vec<Effect>,
) {
    match body {
        ReplicationBody::PreVoteAnswer(answer) => {
            election::on_pre_vote_answer(core, now, sender, &answer, out);
        }
        ReplicationBody::VoteAnswer(answer) => election::on_vote_answer(core, now, sender, &answer, out),
        ReplicationBody::Append(append) => replicate::on_append(core, now, sender, append, out),
        ReplicationBody::AppendAnswer(answer) => {
            replicate::on_append_answer(core, now, sender, &answer, out);
        }
        ReplicationBody::Install(snapshot) => snapshot::on_install(core, now, sender, *snapshot, out),
        _ => {}
    }
}

fn empty_snapshot(settings: &Settings) -> Snapshot {
    Snapshot {
        index: LogIndex::default(),
        term: ControlTerm::default(),
        members: settings.first_members.clone(),
        catalogue: Arc::default(),
        outcomes: Vec::new(),
        document: None,
        runs: SortedVec::new(),
    }
}
