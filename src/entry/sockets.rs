//! TCP socket options that detect an unresponsive peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Two lost SYN packets take longer than this, and another target is the better choice by then.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// The `TCP_USER_TIMEOUT`: a connection is closed when sent bytes stay unacknowledged this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2500);
/// Idle time before the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let result = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = result.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Sets the options that all connections share.
pub(crate) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE);
    socket.set_tcp_keepalive(
        &keepalive
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_RETRIES),
    )
}
