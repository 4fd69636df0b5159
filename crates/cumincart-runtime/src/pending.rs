//! Requests that wait for an answer, matched by the request number in the answer.

use tokio::sync::oneshot;

/// The pending requests, sorted by number. Numbers are assigned in increasing order.
#[derive(Debug)]
pub struct Pending<T> {
    next: u64,
    requests: Vec<PendingRequest<T>>,
}

#[derive(Debug)]
struct PendingRequest<T> {
    number: u64,
    answer: oneshot::Sender<T>,
}

impl<T> Default for Pending<T> {
    fn default() -> Self {
        Self { next: 1, requests: Vec::new() }
    }
}

impl<T> Pending<T> {
    /// Adds a request and returns its number.
    pub fn add(&mut self, answer: oneshot::Sender<T>) -> u64 {
        let number = self.next;
        self.next += 1;
        self.requests.push(PendingRequest { number, answer });
        number
    }

    /// Adds a request under a number that the caller has chosen. The caller must never reuse a number.
    pub fn insert(&mut self, number: u64, answer: oneshot::Sender<T>) {
        let index = self.requests.partition_point(|request| request.number < number);
        self.requests.insert(index, PendingRequest { number, answer });
    }

    /// Answers a request. Returns `false` and drops the answer if no such request is pending, because the answer is
    /// late or a duplicate, or if the requester no longer waits.
    pub fn answer(&mut self, number: u64, answer: T) -> bool {
        match self.remove(number) {
            Some(sender) => sender.send(answer).is_ok(),
            None => false,
        }
    }

    /// Removes a request and returns its answer channel.
    pub fn remove(&mut self, number: u64) -> Option<oneshot::Sender<T>> {
        let index = self.requests.binary_search_by_key(&number, |request| request.number).ok()?;
        Some(self.requests.remove(index).answer)
    }

    /// Removes the requests whose requester no longer waits.
    pub fn remove_closed(&mut self) {
        self.requests.retain(|request| !request.answer.is_closed());
    }
}
