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
    TickControl(usize, ProcessIncarnation),
    TickEntry(usize, ProcessIncarnation),
    ToControl(usize, ProcessIncarnation, Box<control::Input>),
    HeartbeatArrives(usize, Box<InFlightHeartbeat>),
    ToEntry(usize, ProcessIncarnation, Box<entry::Input>),
    NotLeader(usize, ProcessIncarnation, Option<usize>),
    ConnectArrives(ConnectionTarget),
    CommandArrives(Box<InFlightCommand>),
    TickEndpoint(usize),
    PromotionArrives(Box<InFlightPromotion>),
    RequestArrives(Box<InFlightRequest>),
    AnswerArrives(RequestNumber, Box<CallerResult>),
    AbandonRequest(RequestNumber),
    SendNextRequest(usize),
    TickOperators,
    OperatorResponseArrives(Box<OperatorResponse>),
    InjectFault,
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
