//! The queue of one endpoint: deficit round robin over organisations, bounded, with a cap on what each has under way.
//!
//! Each organisation has a lane of its own; a round gives each its weight in statements. Source: M. Shreedhar and
//! G. Varghese, "Efficient Fair Queuing using Deficit Round Robin", SIGCOMM 1995. Every statement has the cost 1.
//!
//! All instances share the endpoint's slots, and inside the endpoint statements run in order of arrival. So while the
//! endpoint is congested and several organisations are active, each may have only its weight's part of this
//! instance's works under way: what is beyond it waits here, where weights count.

use {
    super::Ticket,
    cumincart_protocol::{name::OrganisationName, time::Instant},
    std::{collections::VecDeque, time::Duration},
};

/// Requests that wait for one endpoint, over all organisations.
pub const QUEUE_LIMIT: usize = 1_024;

/// Requests of one organisation that wait for one endpoint.
pub const ORGANISATION_QUEUE_LIMIT: usize = 256;

/// How long an organisation counts as active after its last request, in milliseconds.
pub const ACTIVE_MS: u64 = 1_000;

/// Names a lane of one queue; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LaneId(u64);

/// A request whose turn it is.
#[derive(Debug, Clone, Copy)]
pub struct Turn {
    /// The request.
    pub ticket: Ticket,
    /// Its lane, which must be told when the work has ended.
    pub lane: LaneId,
}

/// The requests of one organisation; open routes share one without a name.
#[derive(Debug)]
struct Lane {
    id: LaneId,
    organisation: Option<OrganisationName>,
    weight: u32,
    deficit: u32,
    running: u32,
    active_until: Instant,
    waiting: VecDeque<Ticket>,
}

impl Lane {
    fn is_active(&self, now: Instant) -> bool {
        self.running > 0 || !self.waiting.is_empty() || now < self.active_until
    }
}

/// The queue of one endpoint.
#[derive(Debug, Default)]
pub struct FairQueue {
    /// The organisations that are or were active; the first one is served next.
    lanes: VecDeque<Lane>,
    len: usize,
    last_lane: u64,
}

/// The queue, or the organisation's part of it, is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull;

impl FairQueue {
    /// The number of requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// How many requests would be served before a new one of this organisation.
    pub fn places_ahead(&self, organisation: Option<&OrganisationName>, weight: u32) -> usize {
        let own = self.lanes.iter().find(|lane| lane.organisation.as_ref() == organisation);
        let own_len = own.map_or(0, |lane| lane.waiting.len());
        let rounds = own_len / weight.max(1) as usize + 1;
        let others = self.lanes.iter().filter(|lane| lane.organisation.as_ref() != organisation);
        let served = others.map(|lane| lane.waiting.len().min(rounds * lane.weight as usize));
        own_len + served.sum::<usize>()
    }

    /// Adds a request at the end of its organisation's lane.
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
        let lane = self.lane(now, organisation);
        if lane.waiting.len() >= ORGANISATION_QUEUE_LIMIT {
            return Err(QueueFull);
        }
        lane.weight = weight.max(1);
        lane.active_until = now + Duration::from_millis(ACTIVE_MS);
        lane.waiting.push_back(ticket);
        self.len += 1;
        Ok(())
    }

    fn lane(&mut self, now: Instant, organisation: Option<&OrganisationName>) -> &mut Lane {
        if let Some(index) = self.lanes.iter().position(|lane| lane.organisation.as_ref() == organisation) {
            return &mut self.lanes[index];
        }
        self.lanes.retain(|lane| lane.is_active(now));
        self.last_lane += 1;
        self.lanes.push_back(Lane {
            id: LaneId(self.last_lane),
            organisation: organisation.cloned(),
            weight: 1,
            deficit: 0,
            running: 0,
            active_until: now,
            waiting: VecDeque::new(),
        });
        self.lanes.back_mut().expect("a lane was just added")
    }

    /// Takes the request whose turn it is; `limit` is how many works this instance may have under way in all.
    /// While the endpoint is congested, each organisation may have only its part of them.
    pub fn pop(&mut self, now: Instant, limit: u32, congested: bool) -> Option<Turn> {
        if self.is_empty() {
            return None;
        }
        let active = self.lanes.iter().filter(|lane| lane.is_active(now));
        let active_weight = if congested { active.map(|lane| lane.weight).sum() } else { 0 };
        let index = self.lanes.iter().position(|lane| may_run(lane, limit, active_weight))?;
        // Lanes that were passed over keep their order behind the others, and lose no turn: they had nothing to run.
        self.lanes.rotate_left(index);
        let lane = self.lanes.front_mut()?;
        if lane.deficit == 0 {
            lane.deficit = lane.weight;
        }
        lane.deficit -= 1;
        lane.running += 1;
        let turn = Turn { ticket: lane.waiting.pop_front()?, lane: lane.id };
        if lane.waiting.is_empty() {
            lane.deficit = 0;
        }
        if lane.deficit == 0 {
            self.lanes.rotate_left(1);
        }
        self.len -= 1;
        Some(turn)
    }

    /// Notes that a work of a lane has ended.
    pub fn ended(&mut self, id: LaneId) {
        if let Some(lane) = self.lanes.iter_mut().find(|lane| lane.id == id) {
            lane.running = lane.running.saturating_sub(1);
        }
    }

    /// Takes a request out, wherever it stands.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        for lane in &mut self.lanes {
            let Some(place) = lane.waiting.iter().position(|waiting| *waiting == ticket) else {
                continue;
            };
            lane.waiting.remove(place);
            self.len -= 1;
            return true;
        }
        false
    }

    /// Takes all requests out.
    pub fn drain(&mut self) -> Vec<Ticket> {
        self.len = 0;
        self.lanes.iter_mut().flat_map(|lane| lane.waiting.drain(..)).collect()
    }
}

/// Whether a lane has a request and room for it: its weight's part of the limit, rounded down, but at least one.
fn may_run(lane: &Lane, limit: u32, active_weight: u32) -> bool {
    let part = (limit * lane.weight).checked_div(active_weight).unwrap_or(limit);
    !lane.waiting.is_empty() && lane.running < part.max(1)
}
