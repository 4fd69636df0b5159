//! Requests that wait for an answer, found by the number that the answer carries.

use tokio::sync::oneshot;

/// The waiting requests, sorted by number; numbers are given in growing order.
#[derive(Debug)]
pub struct Pending<T> {
    next: u64,
    waiting: Vec<Waiting<T>>,
}

#[derive(Debug)]
struct Waiting<T> {
    number: u64,
    answer: oneshot::Sender<T>,
}

impl<T> Default for Pending<T> {
    fn default() -> Self {
        Self { next: 1, waiting: Vec::new() }
    }
}

impl<T> Pending<T> {
    /// Takes a request in and gives its number.
    pub fn add(&mut self, answer: oneshot::Sender<T>) -> u64 {
        let number = self.next;
        self.next += 1;
        self.waiting.push(Waiting { number, answer });
        number
    }

    /// Takes a request in under a number that the caller gave and never gives again.
    pub fn insert(&mut self, number: u64, answer: oneshot::Sender<T>) {
        let index = self.waiting.partition_point(|waiting| waiting.number < number);
        self.waiting.insert(index, Waiting { number, answer });
    }

    /// Answers a request. An answer to a number that does not wait is dropped: it is late or doubled.
    pub fn answer(&mut self, number: u64, answer: T) -> bool {
        match self.remove(number) {
            Some(waiting) => waiting.send(answer).is_ok(),
            None => false,
        }
    }

    /// Takes a request out without an answer.
    pub fn remove(&mut self, number: u64) -> Option<oneshot::Sender<T>> {
        let index = self.waiting.binary_search_by_key(&number, |waiting| waiting.number).ok()?;
        Some(self.waiting.remove(index).answer)
    }

    /// Drops the requests whose asker waits no more.
    pub fn remove_closed(&mut self) {
        self.waiting.retain(|waiting| !waiting.answer.is_closed());
    }
}
