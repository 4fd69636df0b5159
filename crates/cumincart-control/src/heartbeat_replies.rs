//! The reply handles of the entry instances' heartbeats. The core may answer an instance's last heartbeat more than once.

use cumincart_protocol::{
    name::InstanceName,
    sorted::{Keyed, SortedVec},
};

/// The reply handle of an instance's last heartbeat.
#[derive(Debug)]
struct LastReply<R> {
    instance: InstanceName,
    ticket: u64,
    reply: R,
}

impl<R> Keyed for LastReply<R> {
    type Key = InstanceName;

    fn key(&self) -> &InstanceName {
        &self.instance
    }
}

/// Maps a ticket to the instance whose heartbeat it identifies.
#[derive(Debug)]
struct TicketOwner {
    ticket: u64,
    instance: InstanceName,
}

/// The reply handles, one for each instance, and the tickets by which the core names them.
#[derive(Debug)]
pub struct HeartbeatReplies<R> {
    replies: SortedVec<LastReply<R>>,
    /// Ordered by ticket.
    owners: Vec<TicketOwner>,
    /// Tickets of earlier heartbeats that effects may still name.
    outdated: Vec<u64>,
    next_ticket: u64,
}

impl<R> Default for HeartbeatReplies<R> {
    fn default() -> Self {
        Self { replies: SortedVec::new(), owners: Vec::new(), outdated: Vec::new(), next_ticket: 1 }
    }
}

impl<R> HeartbeatReplies<R> {
    /// Stores the reply handle of a heartbeat in place of the instance's earlier one, and returns its ticket.
    pub fn register(&mut self, instance: InstanceName, reply: R) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        // Tickets increase, so the vector stays ordered.
        self.owners.push(TicketOwner { ticket, instance: instance.clone() });
        if let Some(last) = self.replies.insert(LastReply { instance, ticket, reply }) {
            self.outdated.push(last.ticket);
        }
        ticket
    }

    /// Returns the handle for an answer to a heartbeat. It is that of the instance's last heartbeat, also if the ticket
    /// names an earlier one: an answer says itself which heartbeat it belongs to.
    pub fn reply(&self, ticket: u64) -> Option<&R> {
        let index = self.owners.binary_search_by_key(&ticket, |known| known.ticket).ok()?;
        self.replies.get(&self.owners[index].instance).map(|last| &last.reply)
    }

    /// Forgets the tickets of earlier heartbeats. Called when all effects that may name them have been applied.
    pub fn forget_outdated(&mut self) {
        for ticket in self.outdated.drain(..) {
            if let Ok(index) = self.owners.binary_search_by_key(&ticket, |known| known.ticket) {
                self.owners.remove(index);
            }
        }
    }
}
