//! TCP acceptor for servers that write small chunks.

use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use tokio::net::{TcpListener, TcpStream};

/// A TCP acceptor that sets `TCP_NODELAY`. The server library leaves it off, and Nagle's algorithm
/// together with delayed acknowledgements then delays each streamed token by up to 40 ms.
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
        // Setting the option fails only on a connection that the peer has already closed, and
        // serving such a connection ends at once.
        let _ = accepted.0.set_nodelay(true);
        Ok(accepted)
    }
}
