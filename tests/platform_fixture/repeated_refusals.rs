//! Refusals that a target sends once more, late, on the connection of the refused request.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The time between the parts of a copy.
const PART_INTERVAL: Duration = Duration::from_millis(30);

/// A refusal with the statement that the request has not run, and how it is repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RepeatedRefusal {
    /// The status and its reason.
    status: &'static str,
    /// Further header lines.
    lines: &'static str,
    /// The time from the arrival of the next request on the connection to the copy.
    delay: Duration,
    /// The number of writes in which the copy is sent.
    parts: usize,
}

impl RepeatedRefusal {
    /// A refusal whose copy is sent at once and whole.
    pub(crate) fn new(status: &'static str) -> Self {
        Self {
            status,
            lines: "",
            delay: Duration::ZERO,
            parts: 1,
        }
    }

    pub(crate) fn with_lines(mut self, lines: &'static str) -> Self {
        self.lines = lines;
        self
    }

    pub(crate) fn with_delay(mut self, delay: Duration) -> Self {
        self.delay = delay;
        self
    }

    pub(crate) fn with_parts(mut self, parts: usize) -> Self {
        self.parts = parts;
        self
    }

    pub(crate) fn response(&self, id: &str) -> String {
        format!(
            "HTTP/1.1 {}\r\nX-Request-Id: {id}\r\nX-Not-Run: 1\r\n{}Content-Length: 0\r\n\r\n",
            self.status, self.lines
        )
    }
}

/// The copies that are still to be sent on a connection.
#[derive(Debug, Default)]
pub(crate) struct RefusalCopies(Vec<(RepeatedRefusal, String)>);

impl RefusalCopies {
    pub(crate) fn add(&mut self, refusal: RepeatedRefusal, response: &str) {
        self.0.push((refusal, response.to_owned()));
    }

    /// Writes all copies.
    pub(crate) async fn write(&mut self, stream: &mut TcpStream) -> std::io::Result<()> {
        for (refusal, response) in self.0.drain(..) {
            tokio::time::sleep(refusal.delay).await;
            let part_bytes = response.len().div_ceil(refusal.parts);
            for part in response.as_bytes().chunks(part_bytes) {
                stream.write_all(part).await?;
                if refusal.parts > 1 {
                    tokio::time::sleep(PART_INTERVAL).await;
                }
            }
        }
        Ok(())
    }
}
