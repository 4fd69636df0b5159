//! The request queue of one endpoint: bounded, with deficit round robin over organisations and a limit on
//! each organisation's commands in flight.
//!
//! Each organisation has a flow of its own; a round serves each flow its weight in statements. Source: M.
//! Shreedhar and G. Varghese, "Efficient Fair Queuing using Deficit Round Robin", SIGCOMM 1995. Every
//! statement has the cost 1.
//!
//! All instances share the endpoint's slots, and inside the endpoint statements run in order of arrival. So
//! while the endpoint is congested and several organisations are active, each may have only a part of
//! this instance's commands in flight, in proportion to its weight. Further requests wait in this queue,
//! which serves organisations by weight.

use {
    super::Ticket,
    cumincart_protocol::{name::OrganisationName, time::Instant},
    std::{collections::VecDeque, time::Duration},
};

/// The maximum number of requests queued for one endpoint, over all organisations.
pub const QUEUE_LIMIT: usize = 1_024;

/// The maximum number of requests of one organisation queued for one endpoint.
pub const ORGANISATION_QUEUE_LIMIT: usize = 256;

/// How long an organisation counts as active after its last request, in milliseconds.
pub const ACTIVE_MS: u64 = 1_000;

/// Identifies a flow of one queue; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowId(u64);

/// A request taken from the queue.
#[derive(Debug, Clone, Copy)]
pub struct QueuedRequest {
    /// The request.
    pub ticket: Ticket,
    /// Its flow. [`FairQueue::command_ended`] must be called with it when the command has ended.
    pub flow: FlowId,
}

/// The requests of one organisation. Requests of open routes share one flow without an organisation.
#[derive(Debug)]
struct Flow {
    id: FlowId,
    organisation: Option<OrganisationName>,
    weight: u32,
    deficit: u32,
    running: u32,
    active_until: Instant,
    waiting: VecDeque<Ticket>,
}

impl Flow {
    fn is_active(&self, now: Instant) -> bool {
        self.running > 0 || !self.waiting.is_empty() || now < self.active_until
    }
}

/// The queue of one endpoint.
#[derive(Debug, Default)]
pub struct FairQueue {
    /// The flows of active and recently active organisations; the first one is served next.
    flows: VecDeque<Flow>,
    len: usize,
    last_flow: u64,
}

/// The queue, or the organisation's part of it, is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull;

impl FairQueue {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns how many queued requests would be served before a new one of this organisation.
    pub fn requests_ahead(&self, organisation: Option<&OrganisationName>, weight: u32) -> usize {
        let own = self.flows.iter().find(|flow| flow.organisation.as_ref() == organisation);
        let own_len = own.map_or(0, |flow| flow.waiting.len());
        let rounds = own_len / weight.max(1) as usize + 1;
        let others = self.flows.iter().filter(|flow| flow.organisation.as_ref() != organisation);
        let served = others.map(|flow| flow.waiting.len().min(rounds * flow.weight as usize));
        own_len + served.sum::<usize>()
    }

    /// Adds a request to the end of its organisation's flow.
    pub fn push(
        &mut self,
        now: Instant,
        organisation: Option<&OrganisationName>,
        weight: u32,
        ticket: Ticket,
    ) -> Result<(), QueueFull> {
        if self.len >= QUEUE_LIMIT {
            return Err(QueueFull);
        }
        let flow = self.flow(now, organisation);
        if flow.waiting.len() >= ORGANISATION_QUEUE_LIMIT {
            return Err(QueueFull);
        }
        flow.weight = weight.max(1);
        flow.active_until = now + Duration::from_millis(ACTIVE_MS);
        flow.waiting.push_back(ticket);
        self.len += 1;
        Ok(())
    }

    fn flow(&mut self, now: Instant, organisation: Option<&OrganisationName>) -> &mut Flow {
        if let Some(index) = self.flows.iter().position(|flow| flow.organisation.as_ref() == organisation) {
            return &mut self.flows[index];
        }
        self.flows.retain(|flow| flow.is_active(now));
        self.last_flow += 1;
        self.flows.push_back(Flow {
            id: FlowId(self.last_flow),
            organisation: organisation.cloned(),
            weight: 1,
            deficit: 0,
            running: 0,
            active_until: now,
            waiting: VecDeque::new(),
        });
        self.flows.back_mut().expect("a flow was just added")
    }

    /// Removes the next request; `limit` is the number of commands that this instance may have in flight.
    /// While the endpoint is congested, each organisation may have only its weight's part of them.
    pub fn pop(&mut self, now: Instant, limit: u32, congested: bool) -> Option<QueuedRequest> {
        if self.is_empty() {
            return None;
        }
        let active = self.flows.iter().filter(|flow| flow.is_active(now));
        let active_weight = if congested { active.map(|flow| flow.weight).sum() } else { 0 };
        let index = self.flows.iter().position(|flow| has_capacity(flow, limit, active_weight))?;
        // Flows that were skipped move behind the others in the same order. They lose nothing: they had
        // nothing to run.
        self.flows.rotate_left(index);
        let flow = self.flows.front_mut()?;
        if flow.deficit == 0 {
            flow.deficit = flow.weight;
        }
        flow.deficit -= 1;
        flow.running += 1;
        let queued = QueuedRequest { ticket: flow.waiting.pop_front()?, flow: flow.id };
        if flow.waiting.is_empty() {
            flow.deficit = 0;
        }
        if flow.deficit == 0 {
            self.flows.rotate_left(1);
        }
        self.len -= 1;
        Some(queued)
    }

    /// Records that a command of a flow has ended.
    pub fn command_ended(&mut self, id: FlowId) {
        if let Some(flow) = self.flows.iter_mut().find(|flow| flow.id == id) {
            flow.running = flow.running.saturating_sub(1);
        }
    }

    /// Removes a request. Returns whether it was queued.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        for flow in &mut self.flows {
            let Some(position) = flow.waiting.iter().position(|waiting| *waiting == ticket) else {
                continue;
            };
            flow.waiting.remove(position);
            self.len -= 1;
            return true;
        }
        false
    }

    /// Removes and returns all requests.
    pub fn drain(&mut self) -> Vec<Ticket> {
        self.len = 0;
        self.flows.iter_mut().flat_map(|flow| flow.waiting.drain(..)).collect()
    }
}

/// Whether a flow has a queued request and is below its limit: its weight's part of `limit`, rounded down,
/// but at least one.
fn has_capacity(flow: &Flow, limit: u32, active_weight: u32) -> bool {
    let flow_limit = (limit * flow.weight).checked_div(active_weight).unwrap_or(limit);
    !flow.waiting.is_empty() && flow.running < flow_limit.max(1)
}
