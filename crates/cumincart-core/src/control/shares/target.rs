//! How an organisation's rate and burst are divided among the instances.

use {
    super::{
        account::Account,
        holder::{Granted, Holding},
    },
    cumincart_protocol::heartbeat::Share,
};

/// The part of the fleet that a division depends on.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    /// Failure domains with instances in service.
    pub domains: u64,
    /// Instances in service in the holder's failure domain.
    pub instances_here: u64,
    /// Whether the holder is in service.
    pub active: bool,
}

/// The grant that a holder should get now, without its number; none where its share is right.
pub fn propose(account: &Account, holding: &Holding, fleet: &Fleet) -> Option<Granted> {
    let target = target_of(account, fleet);
    let held = holding.confirmed.share;
    let headroom = account.headroom();
    let share = Share {
        rate_milli_per_s: target.rate_milli_per_s.min(held.rate_milli_per_s + headroom.rate_milli_per_s),
        burst_milli: target.burst_milli.min(held.burst_milli + headroom.burst_milli),
    };
    if share == held {
        return None;
    }
    Some(Granted { share, ..Granted::default() })
}

/// An equal part for each failure domain, split equally among its instances.
fn target_of(account: &Account, fleet: &Fleet) -> Share {
    if !fleet.active {
        return Share::default();
    }
    let parts = fleet.domains.max(1) * fleet.instances_here.max(1);
    Share {
        rate_milli_per_s: account.plan.rate_milli_per_s / parts,
        burst_milli: account.plan.burst_milli / parts,
    }
}
