//! HTTP server task that all stand-ins share.

use std::net::SocketAddr;

use crate::acceptor::NodelayAcceptor;
use poem::{Endpoint, Server};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// A running HTTP server. Dropping it stops the server and closes its connections.
#[derive(Debug)]
pub struct RunningServer {
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl RunningServer {
    pub fn start<E>(listener: TcpListener, app: E) -> std::io::Result<Self>
    where
        E: Endpoint + 'static,
    {
        let address = listener.local_addr()?;
        let acceptor = NodelayAcceptor::new(listener)?;
        let task = tokio::spawn(async move {
            if let Err(error) = Server::new_with_acceptor(acceptor).run(app).await {
                eprintln!("standin: the HTTP server on {address} stopped: {error}");
            }
        });
        Ok(Self { address, task })
    }

    /// Waits until the server task ends, which happens only when the server fails.
    pub async fn wait(mut self) {
        let _ = (&mut self.task).await;
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
