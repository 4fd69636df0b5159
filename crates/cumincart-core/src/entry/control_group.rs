//! The control instances that this instance knows, and where it looks for others once none of them answers.
//!
//! The leader compares the digest of this list in each heartbeat with its own list, so it sends the list until an answer
//! has brought it. An instance that was cut off while all of them were replaced knows no live one; it asks the other entry
//! instances, one after the other.

use {
    super::Core,
    cumincart_protocol::{
        control_addresses,
        heartbeat::{HeartbeatAnswer, InstanceEntry},
        number::ControlTerm,
        time::Instant,
    },
    std::{sync::Arc, time::Duration},
};

/// The time without an answer of a leader after which other sources are asked, in milliseconds: longer than an election
/// usually takes.
pub const LOST_AFTER_MS: u64 = 2_000;

/// The interval between two questions to other entry instances, in milliseconds.
pub const ASK_INTERVAL_MS: u64 = 500;

/// The largest number of addresses that are taken from another entry instance. A group has fewer members.
pub const NAMED_MAX: usize = 32;

/// The control instances that this instance knows.
#[derive(Debug, Default)]
pub struct ControlGroup {
    /// The list that the leader named last.
    addresses: Vec<Arc<str>>,
    /// Whether the list has changed since [`ControlGroup::take_changed`].
    is_changed: bool,
    /// The leader's term and the time of the heartbeat that it answered. An earlier answer may arrive later.
    named_at: Option<(ControlTerm, Instant)>,
    answered_at: Option<Instant>,
    /// When the instance started to wait for an answer, if it has never had one.
    waiting_since: Option<Instant>,
    next_ask_at: Instant,
    /// The position of the instance to ask next.
    next_instance: usize,
}

impl ControlGroup {
    /// Returns the peer addresses that the leader named last, as `ip:port`; empty before its first answer.
    pub fn addresses(&self) -> &[Arc<str>] {
        &self.addresses
    }

    /// Returns the list if it has changed since the last call, for the links to it.
    pub fn take_changed(&mut self) -> Option<&[Arc<str>]> {
        std::mem::take(&mut self.is_changed).then_some(&self.addresses)
    }

    /// Returns the digest of the list, which the next heartbeat reports.
    pub fn digest(&self) -> u64 {
        control_addresses::digest(&self.addresses)
    }

    /// Returns whether no leader has answered for [`LOST_AFTER_MS`].
    pub fn is_lost(&mut self, now: Instant) -> bool {
        let since = self.answered_at.unwrap_or(*self.waiting_since.get_or_insert(now));
        now.saturating_since(since) >= Duration::from_millis(LOST_AFTER_MS)
    }
}

/// Takes the list in an answer, unless an answer to a later heartbeat, or of a later leader, has brought one.
pub fn on_answer(group: &mut ControlGroup, now: Instant, answer: &HeartbeatAnswer) {
    group.answered_at = Some(now);
    let Some(addresses) = &answer.control_addresses else { return };
    let named_at = Some((answer.control_term, answer.asked_at));
    if addresses.is_empty() || named_at < group.named_at {
        return;
    }
    group.named_at = named_at;
    group.is_changed |= group.addresses != *addresses;
    group.addresses.clone_from(addresses);
}

/// Returns the entry instance to ask for control instances now, if one is due to be asked.
pub fn instance_to_ask(core: &mut Core, now: Instant) -> Option<InstanceEntry> {
    let group = &mut core.control_group;
    if !group.is_lost(now) || now < group.next_ask_at {
        return None;
    }
    group.next_ask_at = now + Duration::from_millis(ASK_INTERVAL_MS);
    let own = &core.settings.instance;
    let others: Vec<&InstanceEntry> =
        core.freshness.instances.iter().filter(|instance| instance.name != *own).collect();
    let asked = others.get(group.next_instance % others.len().max(1)).map(|instance| (*instance).clone());
    group.next_instance = group.next_instance.wrapping_add(1);
    asked
}
