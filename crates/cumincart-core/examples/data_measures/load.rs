//! Load generators: open arrivals by organisation, and sessions that write and read in turn.

use {
    crate::{
        deployment::Deployment,
        fleet::{Fleet, Notification},
    },
    cumincart_core::entry::{Ticket, session},
    cumincart_protocol::{
        request::{Call, CallerRequest, Operation},
        session::Session,
        verdict::Verdict,
    },
    rand::RngExt,
};

/// The open arrivals of one organisation.
#[derive(Debug, Clone, Copy)]
pub struct Stream {
    pub organisation: usize,
    pub rate_per_s: f64,
    pub write_share: f64,
    /// Whether its requests use open routes, which share one queue.
    pub open: bool,
}

/// The outcome of one request.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    pub organisation: usize,
    pub sent_micros: u64,
    pub took_micros: u64,
    pub outcome: Outcome,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Replica,
    Primary,
    NotRun,
    Unknown,
}

#[derive(Debug, Clone)]
struct SentRequest {
    sent: u64,
    caller: usize,
    write: bool,
}

pub fn request(group: usize, route: &str, organisation: usize, session: Session) -> CallerRequest {
    let call = Call {
        service: Deployment::service(group).as_str().into(),
        route: route.into(),
        sql: Some("select 1".into()),
        parameters: Vec::new(),
        arguments: Vec::new(),
    };
    CallerRequest {
        key_digest: Some(Deployment::key(organisation)),
        session,
        request_id: None,
        operation: Operation::Run(call),
        deadline_ms: None,
    }
}

/// Generates open arrivals from `warm_micros` on and returns the samples of the requests sent before
/// `end_micros`.
pub fn drive_streams(
    fleet: &mut Fleet,
    deployment: &Deployment,
    streams: &[Stream],
    warm_micros: u64,
    end_micros: u64,
) -> Vec<Sample> {
    for index in 0..streams.len() {
        fleet.wake_at(warm_micros, index as u64);
    }
    let mut sent_requests: Vec<SentRequest> = Vec::new();
    let mut samples = Vec::new();
    while let Some(notification) = fleet.next(end_micros + 3_000_000) {
        match notification {
            Notification::Wake(token) => {
                let stream = streams[token as usize];
                let pause = -fleet.random.random_range(1e-9_f64..1.0).ln() / stream.rate_per_s;
                let next = fleet.now + (pause * 1e6) as u64;
                if next < end_micros {
                    fleet.wake_at(next, token);
                }
                let write = fleet.random.random_bool(stream.write_share);
                let route = match (stream.open, write) {
                    (false, false) => "browse",
                    (false, true) => "post",
                    (true, false) => "open-browse",
                    (true, true) => "open-post",
                };
                let group = fleet.random.random_range(0..deployment.groups);
                let instance = fleet.random.random_range(0..deployment.instances);
                let ticket = Ticket(sent_requests.len() as u64);
                sent_requests.push(SentRequest { sent: fleet.now, caller: stream.organisation, write });
                fleet.send(instance, ticket, request(group, route, stream.organisation, Session::default()));
            }
            Notification::Returned(returned) => {
                let sent = &sent_requests[returned.ticket.0 as usize];
                let outcome = match &returned.result {
                    Ok(answer) if answer.from_replica => Outcome::Replica,
                    Ok(_) => Outcome::Primary,
                    Err(refusal) if refusal.verdict == Verdict::NotRun => Outcome::NotRun,
                    Err(_) => Outcome::Unknown,
                };
                samples.push(Sample {
                    organisation: sent.caller,
                    sent_micros: sent.sent,
                    took_micros: returned.at_micros - sent.sent,
                    outcome,
                });
            }
        }
    }
    samples
}

/// The counts of a run with sessions.
#[derive(Debug, Default)]
pub struct SessionCounts {
    pub reads: u64,
    /// Reads that some replica could have served correctly when they were sent.
    pub servable: u64,
    /// Reads that a replica served.
    pub by_replica: u64,
    /// Reads that a replica served, out of `servable`.
    pub servable_by_replica: u64,
    pub refused: u64,
    pub writes: u64,
}

/// Runs sessions that send each request to a random instance and pause after every answer.
pub fn drive_sessions(
    fleet: &mut Fleet,
    deployment: &Deployment,
    sessions: usize,
    write_share: f64,
    pause_ms: f64,
    end_micros: u64,
) -> SessionCounts {
    let mut session_tokens: Vec<Session> = vec![Session::default(); sessions];
    let mut sent_requests: Vec<SentRequest> = Vec::new();
    let mut servable: Vec<bool> = Vec::new();
    let mut counts = SessionCounts::default();
    for caller in 0..sessions {
        fleet.wake_at(500_000 + caller as u64 * 997, caller as u64);
    }
    while let Some(notification) = fleet.next(end_micros) {
        match notification {
            Notification::Wake(token) => {
                let caller = token as usize;
                let group = caller % deployment.groups;
                let write = fleet.random.random_bool(write_share);
                let service = Deployment::service(group).as_str().into();
                let needed = session::needed_position(&session::seen(&session_tokens[caller], &service));
                let ticket = Ticket(sent_requests.len() as u64);
                sent_requests.push(SentRequest { sent: fleet.now, caller, write });
                servable.push(!write && fleet.replica_position(group) >= needed.0);
                let instance = fleet.random.random_range(0..deployment.instances);
                let route = if write { "post" } else { "browse" };
                let organisation = caller % Deployment::organisations();
                fleet.send(
                    instance,
                    ticket,
                    request(group, route, organisation, session_tokens[caller].clone()),
                );
            }
            Notification::Returned(returned) => {
                let index = returned.ticket.0 as usize;
                let sent = sent_requests[index].clone();
                let from_replica = matches!(&returned.result, Ok(answer) if answer.from_replica);
                counts.writes += u64::from(sent.write);
                counts.reads += u64::from(!sent.write);
                counts.servable += u64::from(servable[index]);
                counts.by_replica += u64::from(from_replica);
                counts.servable_by_replica += u64::from(from_replica && servable[index]);
                counts.refused += u64::from(returned.result.is_err());
                if let Ok(answer) = returned.result {
                    session_tokens[sent.caller] = answer.session;
                }
                let pause = -fleet.random.random_range(1e-9_f64..1.0).ln() * pause_ms * 1e3;
                fleet.wake_at(returned.at_micros + pause as u64, sent.caller as u64);
            }
        }
    }
    counts
}

/// Returns the value below which this share of the values lies.
pub fn percentile(values: &mut [u64], share: f64) -> u64 {
    if values.is_empty() {
        return 0;
    }
    values.sort_unstable();
    let index = ((values.len() as f64 * share).ceil() as usize).clamp(1, values.len()) - 1;
    values[index]
}
