//! Time limits of a planned stop: readiness is withdrawn at once, then idle sessions are closed gradually while
//! transactions get time to end.

use std::time::Duration;

/// How long after the stop request sessions continue as before: the time in which a load balancer notices that the
/// instance is not ready, with two probes at an interval of one second.
pub const UNREADY_DURATION: Duration = Duration::from_millis(2_200);

/// The time over which idle sessions are closed after that, so that their clients don't all reconnect at once.
pub const CLOSE_SPREAD: Duration = Duration::from_millis(1_500);

/// How long after the stop request open transactions may continue.
pub const TRANSACTION_TIMEOUT: Duration = Duration::from_millis(3_200);

/// How long after the stop request the process ends at the latest.
pub const STOP_TIMEOUT: Duration = Duration::from_millis(5_200);
