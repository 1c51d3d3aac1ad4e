//! A TCP acceptor for HTTP connections that disables Nagle's algorithm.

use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use tokio::net::{TcpListener, TcpStream};

/// A TCP acceptor that sets `TCP_NODELAY`. The server library does not set it, and Nagle's
/// algorithm together with delayed acknowledgements delayed each streamed token by up to 40 ms.
pub(crate) struct NodelayAcceptor(TcpAcceptor);

impl NodelayAcceptor {
    pub(crate) fn new(listener: TcpListener) -> std::io::Result<Self> {
        Ok(Self(TcpAcceptor::from_tokio(listener)?))
    }
}

impl Acceptor for NodelayAcceptor {
    type Io = TcpStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.0.local_addr()
    }

    async fn accept(
        &mut self,
    ) -> std::io::Result<(TcpStream, LocalAddr, RemoteAddr, poem::http::uri::Scheme)> {
        let accepted = self.0.accept().await?;
        // The option cannot be set if the client has already closed the connection. Serving it then
        // ends at once.
        let _ = accepted.0.set_nodelay(true);
        Ok(accepted)
    }
}

#[cfg(test)]
mod tests;
