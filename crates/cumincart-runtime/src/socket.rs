//! Options of long-lived connections: small messages go at once, and the loss of the other end is noticed.

use {
    socket2::{SockRef, TcpKeepalive},
    std::{io, time::Duration},
    tokio::net::TcpStream,
};

/// How long sent bytes may stay unacknowledged before a connection counts as lost: longer than a lost packet's resend,
/// shorter than a usual disruption of a network.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// The time without traffic after which a connection is probed.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);

/// The time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Sets the options. Where that fails, the connection works and its loss may be noticed late.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_TIME).with_interval(KEEPALIVE_INTERVAL);
    let socket = SockRef::from(stream);
    stream.set_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_keepalive(&keepalive)
}
