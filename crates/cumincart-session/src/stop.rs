//! A planned stop: not ready at once, sessions at rest are closed little by little, transactions get time to end.

use std::time::Duration;

/// How long after the stop was asked for sessions go on as before: a balancer's time to notice that the instance is not
/// ready, with two probes of a second.
pub const UNREADY_DURATION: Duration = Duration::from_millis(2_200);

/// Over which time sessions at rest are closed then, so that their clients don't all reconnect at once.
pub const CLOSE_SPREAD: Duration = Duration::from_millis(1_500);

/// How long after the stop was asked for an open transaction may go on.
pub const TRANSACTION_TIMEOUT: Duration = Duration::from_millis(3_200);

/// When the process ends at the latest, after the stop was asked for.
pub const STOP_TIMEOUT: Duration = Duration::from_millis(5_200);
