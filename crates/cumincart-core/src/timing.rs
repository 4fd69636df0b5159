//! The times that entry and control instances must agree on.

/// Time between two heartbeats of an entry instance, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 500;

/// How long an entry instance may take a term or a service state as current, in milliseconds.
pub const TERM_LEASE_MS: u64 = 1_500;

/// How long an entry instance may act on keys, plans, shares and permits, in milliseconds.
pub const FRESHNESS_LEASE_MS: u64 = 2_900;

/// The greatest difference of two clocks' speeds that leases allow for, in thousandths.
pub const CLOCK_DRIFT_PER_MILLE: u64 = 10;

/// Time between two ticks of a core, in milliseconds.
pub const TICK_INTERVAL_MS: u64 = 10;

/// Time between two announcements of an endpoint, in milliseconds.
pub const ANNOUNCEMENT_INTERVAL_MS: u64 = 200;

/// A lease's length as its grantor must count it, so that no holder with a slow clock outlives it.
pub const fn grantor_lease_ms(lease_ms: u64) -> u64 {
    lease_ms + lease_ms * CLOCK_DRIFT_PER_MILLE / 1_000 + 1
}
