//! Endpoints' reports of themselves, which are acknowledged once they are in force. A follower passes a report on to the
//! leader and returns the leader's answer.

use {
    super::{Core, Effect, Ticket, election, presence, replicate},
    cumincart_protocol::{
        announcement::{PresenceReport, ReportOutcome},
        name::EndpointName,
        replication::{Member, ReplicationBody},
        time::Instant,
    },
    std::time::Duration,
};

/// How long a report is waited for, in milliseconds. Endpoints try another instance after a second.
pub const REPORT_TIMEOUT_MS: u64 = 1_000;

/// How recently a follower must have heard the leader to pass a report on to it, in milliseconds.
pub const LEADER_CONTACT_MS: u64 = 600;

/// The reports that are not answered yet.
#[derive(Debug, Default)]
pub struct Reports {
    /// The leader's: those that are not in force yet.
    waiting: Vec<WaitingReport>,
    /// A follower's: those that it has passed on.
    forwarded: Vec<ForwardedReport>,
    last_number: u64,
}

#[derive(Debug)]
struct WaitingReport {
    endpoint: EndpointName,
    reporter: Reporter,
    received_at: Instant,
}

/// Where the answer to a report goes.
#[derive(Debug, Clone)]
enum Reporter {
    /// To a caller of this instance.
    Caller(Ticket),
    /// To the follower that has passed it on, under its number.
    Follower(Member, u64),
}

#[derive(Debug)]
struct ForwardedReport {
    number: u64,
    ticket: Ticket,
    sent_at: Instant,
}

/// Handles the report of an endpoint that called this instance.
pub fn on_reported(
    core: &mut Core,
    now: Instant,
    ticket: Ticket,
    report: PresenceReport,
    out: &mut Vec<Effect>,
) {
    if core.election.is_leader() {
        handle(core, now, Reporter::Caller(ticket), report, out);
        return;
    }
    let is_in_contact = core.election.leaderless_for(now) < Duration::from_millis(LEADER_CONTACT_MS);
    let leader = election::leader_member(core).filter(|_| is_in_contact).cloned();
    let Some(leader) = leader else {
        out.push(Effect::AnswerReport(ticket, ReportOutcome::NotLeader));
        return;
    };
    core.reports.last_number += 1;
    let number = core.reports.last_number;
    core.reports.forwarded.push(ForwardedReport { number, ticket, sent_at: now });
    replicate::send(core, &leader, ReplicationBody::Report(number, report), out);
}

/// Handles a report that a follower has passed on.
pub fn on_forwarded(
    core: &mut Core,
    now: Instant,
    from: Member,
    number: u64,
    report: PresenceReport,
    out: &mut Vec<Effect>,
) {
    let reporter = Reporter::Follower(from, number);
    if core.election.is_leader() {
        handle(core, now, reporter, report, out);
    } else {
        answer(core, reporter, ReportOutcome::NotLeader, out);
    }
}

/// Handles the leader's answer to a report that this instance has passed on.
pub fn on_outcome(core: &mut Core, number: u64, outcome: ReportOutcome, out: &mut Vec<Effect>) {
    let forwarded = &mut core.reports.forwarded;
    let Some(index) = forwarded.iter().position(|known| known.number == number) else { return };
    let ticket = forwarded.swap_remove(index).ticket;
    answer(core, Reporter::Caller(ticket), outcome, out);
}

fn handle(core: &mut Core, now: Instant, reporter: Reporter, report: PresenceReport, out: &mut Vec<Effect>) {
    let (endpoint, is_recorded) = match report {
        PresenceReport::Present(presence) => {
            let endpoint = presence.endpoint.clone();
            (endpoint, presence::record(core, now, presence, out))
        }
        PresenceReport::Left(endpoint) => {
            presence::record_end(core, now, &endpoint, out);
            (endpoint, true)
        }
    };
    if !is_recorded {
        answer(core, reporter, ReportOutcome::Superseded, out);
    } else if presence::is_in_force(core, &endpoint) {
        answer(core, reporter, ReportOutcome::InForce, out);
    } else {
        core.reports.waiting.push(WaitingReport { endpoint, reporter, received_at: now });
    }
}

/// Answers the reports that have come into force, and drops those whose callers have given up.
pub fn on_tick(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let timeout = Duration::from_millis(REPORT_TIMEOUT_MS);
    for waiting in std::mem::take(&mut core.reports.waiting) {
        if presence::is_in_force(core, &waiting.endpoint) {
            answer(core, waiting.reporter, ReportOutcome::InForce, out);
        } else if now.saturating_since(waiting.received_at) < timeout {
            core.reports.waiting.push(waiting);
        } else {
            answer(core, waiting.reporter, ReportOutcome::NotLeader, out);
        }
    }
    let (waiting, late): (Vec<_>, Vec<_>) = std::mem::take(&mut core.reports.forwarded)
        .into_iter()
        .partition(|known| now.saturating_since(known.sent_at) < timeout);
    core.reports.forwarded = waiting;
    for late in late {
        answer(core, Reporter::Caller(late.ticket), ReportOutcome::NotLeader, out);
    }
}

/// Refuses the reports that were not in force when this instance stopped leading.
pub fn on_leadership_lost(core: &mut Core, out: &mut Vec<Effect>) {
    for waiting in std::mem::take(&mut core.reports.waiting) {
        answer(core, waiting.reporter, ReportOutcome::NotLeader, out);
    }
}

fn answer(core: &Core, reporter: Reporter, outcome: ReportOutcome, out: &mut Vec<Effect>) {
    match reporter {
        Reporter::Caller(ticket) => {
            out.push(Effect::AnswerReport(ticket, outcome));
        }
        Reporter::Follower(member, number) => {
            replicate::send(core, &member, ReplicationBody::ReportOutcome(number, outcome), out);
        }
    }
}
