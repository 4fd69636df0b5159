//! The deterministic core of a control instance: leader election, the replicated log, failover, leases,
//! service state, quota shares and connection permits.
//!
//! The core does no I/O and reads no clock. The runtime feeds it one `Input` at a time through `step` and
//! carries out the `Effect`s that it returns.

pub mod announcements;
pub mod catalogue;
pub mod choice;
pub mod commit;
pub mod commit_holders;
mod configuration;
pub mod delivery;
pub mod departures;
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
pub mod push;
pub mod read_index;
pub mod reconfiguration;
pub mod replicate;
pub mod reports;
pub mod response_time;
pub mod runs;
pub mod service_state;
pub mod shares;
pub mod snapshot;
pub mod status;
pub mod usage;
pub mod voting;

pub use {
    probe::Probe,
    promotion::{PromotedState, Promotion, PromotionError},
    status::{EndpointStatus, InstanceStatus, Status},
    usage::{UsageAnswer, UsageCall},
};

use {
    cumincart_protocol::{
        announcement::{Announcement, LogState, Presence, PresenceReport, ReportOutcome},
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
    std::{sync::Arc, time::Duration},
};

/// The highest election term that is accepted from a peer. Terms grow by one with each election, and grant numbers have
/// room for 32 bits of them; a group that adopted a higher one could never elect a leader again.
pub const CONTROL_TERM_MAX: ControlTerm = ControlTerm(u32::MAX as u64);

/// The duration from which on a sync of the data folder is reported to the core, in milliseconds: a good part of the
/// interval between two messages of a leader.
pub const SLOW_SYNC_MS: u64 = 20;

/// The start-up settings of a control instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This instance as a member of the control group, with the identity of its disk.
    pub member: Member,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The initial members of a new group, with `DiskId::unbound`; used only if the data folder is empty.
    /// Their disk identities are recorded in the log once all of them have voted for the first leader.
    pub first_members: Members,
}

/// The state that the data folder holds when the process starts.
#[derive(Debug, Clone, Default)]
pub struct Stored {
    /// The last persisted ballot.
    pub ballot: Ballot,
    /// The last snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// The log records after the snapshot, in order.
    pub records: Vec<Record>,
}

/// Identifies a pending request. The runtime uses it to match an answer to the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// An event that the core reacts to.
#[derive(Debug, Clone)]
pub enum Input {
    /// A timer tick; arrives every `TICK_INTERVAL_MS`.
    Tick,
    /// A replication message from another control instance.
    Replication(InstanceName, ReplicationMessage),
    /// A heartbeat from an entry instance.
    Heartbeat(Ticket, Box<Heartbeat>),
    /// A change requested by an operator.
    Operator(Ticket, Change),
    /// A planned stop of this instance was requested.
    Stop,
    /// An operator's request for the state, answered only after a quorum has confirmed the leadership.
    Status(Ticket),
    /// An endpoint's announcement, including the state of its log.
    Announced(Announcement),
    /// A presence message from an endpoint that does not report the state of its log.
    Present(Presence),
    /// The same, to be answered with `Effect::AnswerReport` once it is in force.
    Reported(Ticket, PresenceReport),
    /// The result of a probe; `None` if the endpoint did not answer.
    Probed(Probe, Option<LogState>),
    /// The data folder was synced, which took this long. Sent where it took longer than `SLOW_SYNC_MS`.
    Synced(Duration),
    /// The result of a promotion that was requested with `Effect::Promote`.
    Promoted(Promotion, Result<PromotedState, PromotionError>),
    /// The result of a call that was requested with `Effect::ReportUsage`.
    UsageReported(UsageCall, UsageAnswer),
}

/// An action that the runtime must carry out. Effects are carried out in order: a `Persist` is synced to disk
/// before any effect after it.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Write to the data folder and sync it.
    Persist(Persist),
    /// Send a message to another control instance. The message may be lost.
    Send(Member, ReplicationMessage),
    /// Answer a heartbeat with `HeartbeatAnswer` or `NotLeader`. An instance's last heartbeat may be answered
    /// again when a change is committed, so the runtime keeps the ticket until that instance's next
    /// heartbeat.
    AnswerHeartbeat(Ticket, PeerBody),
    /// Answer an operator's change.
    AnswerOperator(Ticket, Result<Outcome, ControlRefusal>),
    /// Answer a status request.
    AnswerStatus(Ticket, Result<Box<Status>, ControlRefusal>),
    /// Answer an endpoint's report.
    AnswerReport(Ticket, ReportOutcome),
    /// The planned stop is complete: the process may end.
    Stopped,
    /// Promote an endpoint and report the result with `Input::Promoted`.
    Promote(Promotion),
    /// Query the state of an endpoint's log and report the result with `Input::Probed`.
    Probe(Probe),
    /// Report the usage of an accounting window and return the result with `Input::UsageReported`.
    ReportUsage(UsageCall),
    /// Write a line to the log of the process.
    Log(Arc<str>),
}

/// A write to the data folder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Persist {
    /// Replaces the stored ballot.
    Ballot(Ballot),
    /// Appends records to the log.
    Append(Vec<Record>),
    /// Removes the record with this index and all records after it.
    TruncateFrom(LogIndex),
    /// Stores a snapshot; records up to its index may be removed.
    Snapshot(Box<Snapshot>),
}

/// The reason why a control instance refused a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlRefusal {
    /// This instance is not the leader; the change was not applied.
    NotLeader(Option<Leader>),
    /// Leadership was lost while the change was in flight: it may still be committed. Retry with the same
    /// change id.
    Unknown,
    /// No quorum answers; nothing was changed.
    NoQuorum,
}

/// The complete state of a control instance.
#[derive(Debug)]
pub struct Core {
    /// The start-up settings.
    pub settings: Settings,
    /// The replicated state as applied on this instance.
    pub catalogue: Arc<Catalogue>,
    /// The random source of election timeouts.
    pub random: ChaCha20Rng,
    /// The replicated log.
    pub log: log::Log,
    /// The ballot, the role and the known leader.
    pub election: election::Election,
    /// The leader's replication progress for each follower.
    pub replication: replicate::Replication,
    /// The outcomes of recent operator changes; replicated.
    pub outcomes: operators::Outcomes,
    /// The document of the current configuration; replicated.
    pub document: Option<VersionedDocument>,
    /// Further control instances to contact when this instance's own member list may be outdated, by their
    /// usual names.
    pub seeds: SortedVec<Member>,
    /// The last presence message of each probed endpoint; kept by the leader.
    pub presences: presence::Presences,
    /// The probes of endpoints; kept by the leader.
    pub probes: probe::Probes,
    /// The runs of entry instances that may hold leases.
    pub runs: runs::Runs,
    /// Operator changes that are waiting for their commit.
    pub pending_changes: operators::PendingChanges,
    /// Reads that are waiting for a quorum to confirm the leadership.
    pub pending_reads: read_index::PendingReads,
    /// The most recent catalogue changes.
    pub recent_deltas: catalogue::RecentDeltas,
    /// The leases of entry instances; kept by the leader.
    pub leases: leases::Leases,
    /// The changes that holders of leases must be sent; kept by the leader.
    pub pushes: push::Pushes,
    /// The pacing of large updates; kept by the leader.
    pub deliveries: delivery::Deliveries,
    /// The last announcement of each endpoint; kept by the leader.
    pub announcements: announcements::Announcements,
    /// The endpoints that are to be removed from their groups; kept by the leader.
    pub departures: departures::Departures,
    /// The numbers of synchronous replicas that have not taken effect; kept by the leader.
    pub pending_settings: commit_holders::PendingSettings,
    /// The reports of endpoints that are not answered yet.
    pub reports: reports::Reports,
    /// The changes of primary that are in progress; kept by the leader.
    pub failover: failover::Failover,
    /// The shares of organisations' rate quotas that entry instances hold; kept by the leader.
    pub shares: shares::Ledger,
    /// The permits for endpoint connections that entry instances hold; kept by the leader.
    pub permits: permits::Ledger,
    /// The usage of accounting windows: the last closed ones, which are replicated, and what the leader gathers.
    pub usage: usage::Usage,
    /// The earliest time for the next join request.
    pub next_join_at: Instant,
    /// Whether an instance that has lost its disk never starts as one of the first members again, because it is told that
    /// the group has started before.
    pub is_first_start_certain: bool,
    /// The number of voters that the group needs. Other instances stand by as learners.
    pub voters_target: usize,
    /// The members that have said that they are about to stop; kept by the leader.
    pub leaving: Vec<members::Leaving>,
    /// The planned stop of this instance, once it was requested.
    pub planned_stop: Option<members::PlannedStop>,
}

impl Core {
    /// Restores the state from the contents of the data folder.
    pub fn open(settings: Settings, stored: Stored, random: ChaCha20Rng) -> Self {
        let snapshot = stored.snapshot.unwrap_or_else(|| empty_snapshot(&settings));
        let voters_target = members::voters_needed(settings.first_members.voters.len());
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
            pending_changes: operators::PendingChanges::default(),
            pending_reads: read_index::PendingReads::default(),
            recent_deltas: catalogue::RecentDeltas::default(),
            leases: leases::Leases::default(),
            pushes: push::Pushes::default(),
            deliveries: delivery::Deliveries::default(),
            announcements: announcements::Announcements::default(),
            departures: departures::Departures::default(),
            pending_settings: commit_holders::PendingSettings::default(),
            reports: reports::Reports::default(),
            failover: failover::Failover::default(),
            shares: shares::Ledger::default(),
            permits: permits::Ledger::default(),
            usage: usage::Usage::open(snapshot.usage),
            next_join_at: Instant::ZERO,
            is_first_start_certain: false,
            voters_target,
            leaving: Vec::new(),
            planned_stop: None,
        }
    }

    /// Returns the identity of this instance's disk.
    pub fn disk(&self) -> &DiskId {
        &self.settings.member.disk
    }
}

/// Processes one input and appends the resulting effects to `out`.
pub fn step(core: &mut Core, now: Instant, input: Input, out: &mut Vec<Effect>) {
    match input {
        Input::Tick => on_tick(core, now, out),
        Input::Replication(from, message) => on_message(core, now, &from, message, out),
        Input::Heartbeat(ticket, heartbeat) => {
            core.failover.reports.record(now, &heartbeat);
            usage::on_heartbeat(core, now, &heartbeat);
            read_index::request_read(core, now, ticket, read_index::Read::Heartbeat(heartbeat), out);
        }
        Input::Operator(ticket, change) => operators::on_change(core, now, ticket, change, out),
        Input::Stop => members::on_stop(core, now, out),
        Input::Status(ticket) => read_index::request_read(core, now, ticket, read_index::Read::Status, out),
        Input::Announced(announcement) => announcements::on_announced(core, now, announcement, out),
        Input::Present(presence) => presence::on_present(core, now, presence, out),
        Input::Reported(ticket, report) => reports::on_reported(core, now, ticket, report, out),
        Input::Probed(probe, answer) => probe::on_probed(core, now, &probe, answer, out),
        Input::Synced(duration) => election::on_synced(core, now, duration),
        Input::Promoted(promotion, result) => promotion::on_promoted(core, now, &promotion, &result, out),
        Input::UsageReported(call, answer) => usage::on_answer(core, now, &call, answer, out),
    }
    commit::advance(core, now, out);
    failover::on_input(core, now, out);
    commit::advance(core, now, out);
    leases::push(core, now, out);
}

/// Orders the effects of one or more inputs so that they need as few syncs of the data folder as possible: writes go
/// first, in their order, and adjacent ones are merged. An effect may wait for more writes than it requires, never for
/// fewer.
pub fn batch_effects(effects: &mut Vec<Effect>) {
    effects.sort_by_key(|effect| !matches!(effect, Effect::Persist(_)));
    effects.dedup_by(|later, earlier| match (later, earlier) {
        (Effect::Persist(Persist::Ballot(later)), Effect::Persist(Persist::Ballot(earlier))) => {
            std::mem::swap(later, earlier);
            true
        }
        (Effect::Persist(Persist::Append(later)), Effect::Persist(Persist::Append(earlier))) => {
            earlier.append(later);
            true
        }
        _ => false,
    });
}

fn on_tick(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    election::on_tick(core, now, out);
    members::join_if_not_member(core, now, out);
    members::continue_stop(core, now, out);
    reports::on_tick(core, now, out);
    if !core.election.is_leader() {
        return;
    }
    replicate::on_tick(core, now, out);
    delivery::on_tick(&mut core.deliveries);
    leases::on_tick(core, now, out);
    announcements::on_tick(core, now, out);
    presence::on_tick(core, now, out);
    probe::on_tick(core, now, out);
    commit::advance(core, now, out);
    commit_holders::on_tick(core, now, out);
    failover::on_tick(core, now, out);
    usage::on_tick(core, now, out);
}

fn on_message(
    core: &mut Core,
    now: Instant,
    from: &InstanceName,
    message: ReplicationMessage,
    out: &mut Vec<Effect>,
) {
    let Some(sender) = election::resolve_sender(core, from, &message) else { return };
    if highest_term(&message) > CONTROL_TERM_MAX {
        out.push(Effect::Log(format!("a message from {from} was dropped: its term is impossible").into()));
        return;
    }
    let is_old = message.term < core.election.ballot.term;
    match message.body {
        ReplicationBody::PreVote(request) => voting::on_pre_vote(core, now, &sender, &request, out),
        ReplicationBody::Vote(request) => voting::on_vote(core, now, &sender, &request, out),
        ReplicationBody::Join(member) => members::on_join(core, now, &member, out),
        ReplicationBody::Leave => members::on_leave(core, now, sender),
        ReplicationBody::Announcements(list) => announcements::on_forwarded(core, now, list, out),
        ReplicationBody::Presences(list) => presence::on_forwarded(core, now, list, out),
        ReplicationBody::Report(number, report) => {
            reports::on_forwarded(core, now, sender, number, report, out);
        }
        ReplicationBody::ReportOutcome(number, outcome) => reports::on_outcome(core, number, outcome, out),
        ReplicationBody::Append(append) if is_old => {
            replicate::reject_stale_append(core, &sender, &append, out);
        }
        ReplicationBody::Install(_) if is_old => {}
        body => {
            election::observe_term(core, now, message.term, out);
            on_message_of_term(core, now, &sender, body, out);
        }
    }
}

/// Returns the highest term in a message, which this instance might adopt.
fn highest_term(message: &ReplicationMessage) -> ControlTerm {
    let in_body = match &message.body {
        ReplicationBody::PreVote(request) | ReplicationBody::Vote(request) => request.term,
        ReplicationBody::PreVoteAnswer(answer) | ReplicationBody::VoteAnswer(answer) => answer.term,
        _ => ControlTerm::default(),
    };
    message.term.max(in_body)
}

/// Handles the messages that are valid only in the sender's term.
fn on_message_of_term(
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
        usage: SortedVec::new(),
    }
}
