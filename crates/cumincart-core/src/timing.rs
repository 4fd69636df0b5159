//! Intervals and lease lengths on which entry and control instances must agree.

/// The heartbeat interval of an entry instance, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 500;

/// The length of a term lease: how long an entry instance may rely on a group's term and state, in milliseconds.
pub const TERM_LEASE_MS: u64 = 1_500;

/// The length of the freshness lease: how long an entry instance may rely on keys, plans, shares and permits, in
/// milliseconds.
pub const FRESHNESS_LEASE_MS: u64 = 2_900;

/// The maximum difference in speed of two clocks that leases allow for, in thousandths.
pub const CLOCK_DRIFT_PER_MILLE: u64 = 10;

/// The interval between two ticks of a core, in milliseconds.
pub const TICK_INTERVAL_MS: u64 = 10;

/// The interval between two announcements of an endpoint, in milliseconds.
pub const ANNOUNCEMENT_INTERVAL_MS: u64 = 200;

/// Returns how long the grantor of a lease must treat it as valid, so that no holder with a slow clock outlives it.
pub const fn grantor_lease_ms(lease_ms: u64) -> u64 {
    lease_ms + lease_ms * CLOCK_DRIFT_PER_MILLE / 1_000 + 1
}
