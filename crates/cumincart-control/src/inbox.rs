//! The queue of the engine's thread: what keeps the leadership is handled before requests that arrived earlier.

use {std::collections::VecDeque, tokio::sync::mpsc};

/// When a message is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// Before all others, in order.
    First,
    /// Like [`Priority::First`], unless one of them is already waiting.
    FirstOnce,
    /// In order of arrival.
    InOrder,
}

/// A queue of messages with priorities.
#[derive(Debug)]
pub struct Inbox<T> {
    arriving: mpsc::UnboundedReceiver<T>,
    priority: fn(&T) -> Priority,
    first: VecDeque<T>,
    in_order: VecDeque<T>,
}

impl<T> Inbox<T> {
    /// Returns a queue of the messages that arrive on a channel.
    pub fn new(arriving: mpsc::UnboundedReceiver<T>, priority: fn(&T) -> Priority) -> Self {
        Self { arriving, priority, first: VecDeque::new(), in_order: VecDeque::new() }
    }

    /// Waits for a message; `None` once the channel is closed and empty.
    pub fn blocking_recv(&mut self) -> Option<T> {
        if let Some(message) = self.try_recv() {
            return Some(message);
        }
        let message = self.arriving.blocking_recv()?;
        self.sort_in(message);
        self.try_recv()
    }

    /// Returns a message that has arrived.
    pub fn try_recv(&mut self) -> Option<T> {
        while let Ok(message) = self.arriving.try_recv() {
            self.sort_in(message);
        }
        self.first.pop_front().or_else(|| self.in_order.pop_front())
    }

    fn sort_in(&mut self, message: T) {
        let priority = (self.priority)(&message);
        match priority {
            Priority::First => self.first.push_back(message),
            Priority::FirstOnce => {
                if !self.first.iter().any(|waiting| (self.priority)(waiting) == priority) {
                    self.first.push_back(message);
                }
            }
            Priority::InOrder => self.in_order.push_back(message),
        }
    }
}
