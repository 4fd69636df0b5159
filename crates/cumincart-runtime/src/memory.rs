//! The account of a process: the bytes that it holds for connections, and which connection is closed when too many are
//! held.
//!
//! Each connection has a [`Holder`]. It grows while the sum of all holders stays below the level for what the bytes are
//! needed for. Above the level the connection waits or is refused, and the worst holder is asked to close.

use {
    cumincart_protocol::sorted::{Keyed, SortedVec},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::Notify, time::timeout},
};

/// The part of the process's memory that may be held for connections, in per cent. The rest is the program itself, its
/// own state, and memory that is free but not returned to the system.
const ACCOUNT_PER_CENT: usize = 40;

/// The bytes that a connection costs without any message: its task and its buffers.
const CONNECTION_BYTES: usize = 4 * 1_024;

/// What a holder is always granted beyond what it keeps, in bytes. Ordinary statements fit into it.
pub const SMALL_BYTES: usize = 4 * 1_024;

/// How long a holder waits for memory before the worst holder is closed for it.
const WAIT_BEFORE_CLOSE: Duration = Duration::from_secs(2);

/// Who the bytes are held for. Lower classes are closed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// A connection that has not logged in.
    Unknown,
    /// A session without a credential.
    Public,
    /// A session with a credential.
    Known,
    /// A session with an open transaction, or a connection of the process itself.
    Working,
}

/// What bytes are needed for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A message that is partly read.
    Read,
    /// A message that is carried out, and what stays of it.
    Run,
}

/// What an account has done so far, and what it holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AccountCounts {
    /// The bytes that may be held.
    pub limit_bytes: usize,
    /// The bytes that are held.
    pub held_bytes: usize,
    /// The number of holders.
    pub holders: usize,
    /// How often a holder had to wait for memory.
    pub waits: u64,
    /// How often memory was refused.
    pub refusals: u64,
    /// The number of holders that were closed for memory.
    pub closed_for_memory: u64,
    /// The number of holders that were closed for a new connection.
    pub closed_for_place: u64,
}

#[derive(Debug)]
struct HolderState {
    id: u64,
    class: Class,
    bytes: usize,
    /// The order of the last activity among all holders.
    active_at: u64,
    /// Whether closing it would break off work.
    is_busy: bool,
    is_closing: bool,
    close: Arc<Notify>,
}

impl Keyed for HolderState {
    type Key = u64;

    fn key(&self) -> &u64 {
        &self.id
    }
}

#[derive(Debug, Default)]
struct State {
    holders: SortedVec<HolderState>,
    next_id: u64,
    activity: u64,
    /// The bytes of holders that are asked to close.
    closing_bytes: usize,
    counts: AccountCounts,
}

impl State {
    /// Returns the level of a class, in bytes.
    fn level_bytes(&self, class: Class, purpose: Purpose) -> usize {
        let quarters = match (class, purpose) {
            (Class::Unknown, _) => 1,
            (Class::Public | Class::Known, Purpose::Read) => 2,
            (Class::Public | Class::Known, Purpose::Run) | (Class::Working, Purpose::Read) => 3,
            (Class::Working, Purpose::Run) => 4,
        };
        self.counts.limit_bytes / 4 * quarters
    }

    /// Changes the bytes of a holder. Returns whether it shrinks.
    fn set_bytes(&mut self, id: u64, bytes: usize) -> bool {
        let Some(holder) = self.holders.get_mut(&id) else { return false };
        let before = std::mem::replace(&mut holder.bytes, bytes);
        if holder.is_closing {
            self.closing_bytes = self.closing_bytes - before + bytes;
        }
        self.counts.held_bytes = self.counts.held_bytes - before + bytes;
        bytes < before
    }

    /// Asks the worst holder to close: the lowest class first, in it the one that holds most. A holder of the highest class
    /// named is only closed if it holds more than `above_bytes`.
    fn close_worst(&mut self, class_max: Class, above_bytes: usize) {
        let candidates = self.holders.iter().filter(|holder| {
            let may_close =
                !holder.is_busy && !holder.is_closing && holder.bytes > SMALL_BYTES + CONNECTION_BYTES;
            may_close && (holder.class < class_max || holder.class == class_max && holder.bytes > above_bytes)
        });
        let worst = candidates.min_by_key(|holder| (holder.class, usize::MAX - holder.bytes));
        if let Some(id) = worst.map(|worst| worst.id) {
            self.ask_to_close(id);
            self.counts.closed_for_memory += 1;
        }
    }

    fn ask_to_close(&mut self, id: u64) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        holder.is_closing = true;
        self.closing_bytes += holder.bytes;
        // Stored if the holder is not waiting for it.
        holder.close.notify_one();
    }
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Notified when bytes are given back.
    released: Notify,
}

/// The account of a process.
#[derive(Debug, Clone)]
pub struct Account {
    shared: Arc<Shared>,
}

impl Account {
    /// Opens the account of a process that may use this much memory.
    pub fn open(memory_bytes: usize) -> Self {
        let limit_bytes = memory_bytes / 100 * ACCOUNT_PER_CENT;
        let counts = AccountCounts { limit_bytes, ..AccountCounts::default() };
        let state = Mutex::new(State { counts, ..State::default() });
        Self { shared: Arc::new(Shared { state, released: Notify::new() }) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates the holder of a connection.
    pub fn hold(&self, class: Class) -> Holder {
        let close = Arc::new(Notify::new());
        let mut state = self.lock();
        let id = state.next_id;
        state.next_id += 1;
        state.activity += 1;
        let active_at = state.activity;
        state.holders.insert(HolderState {
            id,
            class,
            bytes: 0,
            active_at,
            is_busy: false,
            is_closing: false,
            close: close.clone(),
        });
        state.set_bytes(id, CONNECTION_BYTES);
        drop(state);
        Holder { account: self.clone(), id, close }
    }

    /// Asks the holder to close that has been inactive longest, in the lowest class of those that have one. Returns whether
    /// there is one.
    pub fn close_longest_inactive(&self) -> bool {
        let mut state = self.lock();
        let candidates = state
            .holders
            .iter()
            .filter(|holder| !holder.is_busy && !holder.is_closing && holder.class < Class::Working);
        let oldest = candidates.min_by_key(|holder| (holder.class, holder.active_at)).map(|holder| holder.id);
        let Some(id) = oldest else { return false };
        state.ask_to_close(id);
        state.counts.closed_for_place += 1;
        true
    }

    /// Returns what the account has done and holds.
    pub fn counts(&self) -> AccountCounts {
        let state = self.lock();
        AccountCounts { holders: state.holders.len(), ..state.counts }
    }
}

/// What is held for one connection. Dropping it releases all of it.
#[derive(Debug)]
pub struct Holder {
    account: Account,
    id: u64,
    close: Arc<Notify>,
}

impl Holder {
    /// Changes the class.
    pub fn set_class(&mut self, class: Class) {
        if let Some(holder) = self.account.lock().holders.get_mut(&self.id) {
            holder.class = class;
        }
    }

    /// Records whether work is under way that closing the connection would break off. Counts as activity.
    pub fn set_busy(&mut self, is_busy: bool) {
        let mut state = self.account.lock();
        state.activity += 1;
        let active_at = state.activity;
        if let Some(holder) = state.holders.get_mut(&self.id) {
            holder.is_busy = is_busy;
            holder.active_at = active_at;
        }
    }

    /// Changes the bytes held to what is held already. If that is much more than before, and above the level for reading,
    /// the worst holder is closed.
    pub fn resize(&mut self, bytes: usize) {
        let mut state = self.account.lock();
        let before = state.holders.get(&self.id).map_or(0, |holder| holder.bytes);
        let is_released = state.set_bytes(self.id, bytes + CONNECTION_BYTES);
        let level_bytes = state.level_bytes(Class::Known, Purpose::Read);
        let is_much_more = bytes + CONNECTION_BYTES > before + SMALL_BYTES;
        if is_much_more && state.counts.held_bytes - state.closing_bytes > level_bytes {
            state.close_worst(Class::Working, 0);
        }
        drop(state);
        if is_released {
            self.account.shared.released.notify_waiters();
        }
    }

    /// Changes the bytes held to `kept_bytes` that are held already and `more_bytes`, if the level allows. Returns whether
    /// it does. If not, a holder that holds more is closed.
    pub fn try_resize(&mut self, kept_bytes: usize, more_bytes: usize, purpose: Purpose) -> bool {
        let bytes = kept_bytes + more_bytes;
        let is_granted = self.grant(bytes, more_bytes, purpose);
        if !is_granted {
            self.account.lock().counts.refusals += 1;
            self.close_worse(bytes);
        }
        is_granted
    }

    /// Changes the bytes held to `kept_bytes` that are held already and `more_bytes`, as soon as the level allows. After a
    /// while, holders that hold more are closed one by one.
    pub async fn resize_when_free(&mut self, kept_bytes: usize, more_bytes: usize, purpose: Purpose) {
        let bytes = kept_bytes + more_bytes;
        if self.grant(bytes, more_bytes, purpose) {
            return;
        }
        self.account.lock().counts.waits += 1;
        let shared = self.account.shared.clone();
        loop {
            let released = shared.released.notified();
            tokio::pin!(released);
            // Registered before the check, so that no release between them is missed.
            released.as_mut().enable();
            if self.grant(bytes, more_bytes, purpose) {
                return;
            }
            if timeout(WAIT_BEFORE_CLOSE, released).await.is_err() {
                self.close_worse(bytes);
            }
        }
    }

    /// Returns the handle to wait until the account asks for this connection to be closed.
    pub fn closing(&self) -> Closing {
        Closing { close: self.close.clone() }
    }

    fn grant(&mut self, bytes: usize, more_bytes: usize, purpose: Purpose) -> bool {
        let mut state = self.account.lock();
        let Some(holder) = state.holders.get(&self.id) else { return false };
        let needed = bytes + CONNECTION_BYTES;
        let (class, held) = (holder.class, holder.bytes);
        let level_bytes = state.level_bytes(class, purpose);
        let is_granted = needed <= held
            || more_bytes <= SMALL_BYTES
            || state.counts.held_bytes - held + needed <= level_bytes;
        let is_released = is_granted && state.set_bytes(self.id, needed);
        drop(state);
        if is_released {
            self.account.shared.released.notify_waiters();
        }
        is_granted
    }

    fn close_worse(&mut self, bytes: usize) {
        let mut state = self.account.lock();
        let class = state.holders.get(&self.id).map_or(Class::Unknown, |holder| holder.class);
        // Holders that are closing already may release enough.
        if state.closing_bytes < bytes {
            state.close_worst(class, bytes + CONNECTION_BYTES);
        }
    }
}

/// Waits until the account asks for a connection to be closed.
#[derive(Debug)]
pub struct Closing {
    close: Arc<Notify>,
}

impl Closing {
    /// Waits for the request. Only one task may wait for it.
    pub async fn requested(&self) {
        self.close.notified().await;
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        let mut state = self.account.lock();
        state.set_bytes(self.id, 0);
        state.holders.remove(&self.id);
        drop(state);
        self.account.shared.released.notify_waiters();
    }
}
