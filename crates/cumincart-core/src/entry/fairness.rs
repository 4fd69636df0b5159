//! The queue of one endpoint: deficit round robin over organisations, bounded.
//!
//! Each organisation has a queue of its own; a round gives each its weight in statements. Source: M. Shreedhar and
//! G. Varghese, "Efficient Fair Queuing using Deficit Round Robin", SIGCOMM 1995. Every statement has the cost 1.

use {super::Ticket, cumincart_protocol::name::OrganisationName, std::collections::VecDeque};

/// Requests that wait for one endpoint, over all organisations.
pub const QUEUE_LIMIT: usize = 1_024;

/// Requests of one organisation that wait for one endpoint.
pub const ORGANISATION_QUEUE_LIMIT: usize = 256;

/// A request in the queue.
#[derive(Debug, Clone, Copy)]
pub struct Waiting {
    /// The request.
    pub ticket: Ticket,
}

/// The requests of one organisation; open routes share one without a name.
#[derive(Debug)]
struct Lane {
    organisation: Option<OrganisationName>,
    weight: u32,
    deficit: u32,
    waiting: VecDeque<Waiting>,
}

/// The queue of one endpoint.
#[derive(Debug, Default)]
pub struct FairQueue {
    /// The organisations with requests; the first one is served next.
    lanes: VecDeque<Lane>,
    len: usize,
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

    /// Adds a request at the end of its organisation's queue.
    pub fn push(
        &mut self,
        organisation: Option<&OrganisationName>,
        weight: u32,
        waiting: Waiting,
    ) -> Result<(), QueueFull> {
        if self.len >= QUEUE_LIMIT {
            return Err(QueueFull);
        }
        let weight = weight.max(1);
        let lane = match self.lanes.iter_mut().position(|lane| lane.organisation.as_ref() == organisation) {
            Some(index) => &mut self.lanes[index],
            None => {
                self.lanes.push_back(Lane {
                    organisation: organisation.cloned(),
                    weight,
                    deficit: 0,
                    waiting: VecDeque::new(),
                });
                self.lanes.back_mut().expect("a lane was just added")
            }
        };
        if lane.waiting.len() >= ORGANISATION_QUEUE_LIMIT {
            return Err(QueueFull);
        }
        lane.weight = weight;
        lane.waiting.push_back(waiting);
        self.len += 1;
        Ok(())
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self) -> Option<Waiting> {
        let lane = self.lanes.front_mut()?;
        if lane.deficit == 0 {
            lane.deficit = lane.weight;
        }
        lane.deficit -= 1;
        let waiting = lane.waiting.pop_front().expect("a lane without requests is removed");
        self.len -= 1;
        if lane.waiting.is_empty() {
            self.lanes.pop_front();
        } else if lane.deficit == 0 {
            self.lanes.rotate_left(1);
        }
        Some(waiting)
    }

    /// Takes a request out, wherever it stands.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        for index in 0..self.lanes.len() {
            let lane = &mut self.lanes[index];
            let Some(place) = lane.waiting.iter().position(|waiting| waiting.ticket == ticket) else {
                continue;
            };
            lane.waiting.remove(place);
            self.len -= 1;
            if lane.waiting.is_empty() {
                self.lanes.remove(index);
            }
            return true;
        }
        false
    }

    /// Takes all requests out.
    pub fn drain(&mut self) -> Vec<Ticket> {
        self.len = 0;
        self.lanes.drain(..).flat_map(|lane| lane.waiting).map(|waiting| waiting.ticket).collect()
    }
}
