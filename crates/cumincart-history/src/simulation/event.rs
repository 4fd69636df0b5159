//! Simulation events and their queue.

use {
    super::{
        clients::InFlightRequest,
        control::{InFlightHeartbeat, InFlightPromotion, OperatorResponse},
        entry::{ConnectionTarget, InFlightCommand},
        faults::Recovery,
    },
    crate::history::RequestNumber,
    cumincart_core::{control, entry},
    cumincart_protocol::{request::CallerResult, time::Instant},
    std::{cmp::Reverse, collections::BinaryHeap},
};

/// The incarnation of a process that an event is for. Later incarnations ignore the event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessIncarnation(pub u64);

/// A simulation event.
#[derive(Debug)]
pub enum Event {
    /// A tick of a control instance.
    TickControl(usize, ProcessIncarnation),
    /// A tick of an entry instance.
    TickEntry(usize, ProcessIncarnation),
    /// An input reaches a control instance.
    ToControl(usize, ProcessIncarnation, Box<control::Input>),
    /// A heartbeat reaches a control instance.
    HeartbeatArrives(usize, Box<InFlightHeartbeat>),
    /// An input reaches an entry instance.
    ToEntry(usize, ProcessIncarnation, Box<entry::Input>),
    /// An entry instance learns that the control instance is not the leader, and possibly which one is.
    NotLeader(usize, ProcessIncarnation, Option<usize>),
    /// A connection attempt reaches an endpoint.
    ConnectArrives(ConnectionTarget),
    /// A command reaches an endpoint.
    CommandArrives(Box<InFlightCommand>),
    /// A tick of an endpoint, which replicates and announces itself.
    TickEndpoint(usize),
    /// A promotion reaches an endpoint.
    PromotionArrives(Box<InFlightPromotion>),
    /// A request reaches an entry instance.
    RequestArrives(Box<InFlightRequest>),
    /// An answer reaches a client.
    AnswerArrives(RequestNumber, Box<CallerResult>),
    /// A client's connection is lost or its timeout expires.
    AbandonRequest(RequestNumber),
    /// A session sends its next request.
    SendNextRequest(usize),
    /// Operators send their pending changes.
    TickOperators,
    /// A response reaches an operator.
    OperatorResponseArrives(Box<OperatorResponse>),
    /// The next random fault occurs.
    InjectFault,
    /// A fault ends.
    Recover(Recovery),
}

#[derive(Debug)]
struct Scheduled {
    at: Instant,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// A queue of events, ordered by time. Events at the same instant keep the order in which they were added.
#[derive(Debug, Default)]
pub struct Queue {
    heap: BinaryHeap<Reverse<Scheduled>>,
    number: u64,
}

impl Queue {
    /// Schedules an event.
    pub fn push(&mut self, at: Instant, event: Event) {
        self.number += 1;
        self.heap.push(Reverse(Scheduled { at, number: self.number, event }));
    }

    /// Removes and returns the next event, unless it is later than an instant.
    pub fn pop_until(&mut self, end: Instant) -> Option<(Instant, Event)> {
        if self.heap.peek().is_none_or(|Reverse(next)| next.at > end) {
            return None;
        }
        self.heap.pop().map(|Reverse(next)| (next.at, next.event))
    }
}
