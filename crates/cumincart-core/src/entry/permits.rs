//! How many connections this instance may hold to each endpoint.

use cumincart_protocol::{name::EndpointName, time::Instant};

/// The permits that the control leader granted.
#[derive(Debug, Default)]
pub struct Permits {}

/// The number of connections that may be open to an endpoint now; connections beyond it must be closed.
pub fn allowed(_permits: &Permits, _now: Instant, _endpoint: &EndpointName) -> u32 {
    0
}
