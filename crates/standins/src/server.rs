//! HTTP server task that all stand-ins share.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::acceptor::NodelayAcceptor;
use poem::{Endpoint, EndpointExt, Request, Response, Server};
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
        let app = app.around(answer_with_request_id);
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

/// Repeats the id of a request in its response.
async fn answer_with_request_id<E: Endpoint>(
    endpoint: Arc<E>,
    request: Request,
) -> poem::Result<Response> {
    let id = request.headers().get("x-request-id").cloned();
    let mut response = endpoint.get_response(request).await;
    if let Some(id) = id {
        response.headers_mut().insert("x-request-id", id);
    }
    Ok(response)
}

/// Milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
