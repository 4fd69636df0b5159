//! Socket options of long-lived connections: small messages are sent without delay and the loss of the peer is
//! detected.

use {
    socket2::{SockRef, TcpKeepalive},
    std::{io, time::Duration},
    tokio::net::TcpStream,
};

/// How long sent data may stay unacknowledged before the connection is closed. Longer than the retransmission of a lost
/// packet, shorter than a usual network disruption.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// The idle time before the first keepalive probe.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);

/// The interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Sets the options. If that fails, the connection works, but its loss may be detected late.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_TIME).with_interval(KEEPALIVE_INTERVAL);
    let socket = SockRef::from(stream);
    stream.set_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_keepalive(&keepalive)
}
