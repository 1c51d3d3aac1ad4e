//! TCP sockets that notice a silent peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long a new connection may take: two lost opening packets cost more, and another target is
/// the better choice by then.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Unacknowledged bytes end a connection after this time.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// An idle connection is probed after this time.
const PROBE_AFTER: Duration = Duration::from_secs(2);
/// The pause between probes.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Unanswered probes that end a connection.
const PROBE_COUNT: u32 = 2;

/// Opens a connection.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    tune(&stream)?;
    Ok(stream)
}

/// Sets the options that every connection has.
pub(crate) fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(SILENCE_TIMEOUT))?;
    let probes = TcpKeepalive::new().with_time(PROBE_AFTER);
    socket.set_tcp_keepalive(&probes.with_interval(PROBE_PAUSE).with_retries(PROBE_COUNT))
}
