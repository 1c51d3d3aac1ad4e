//! Structured logging to standard output that never blocks a request.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Bytes of log lines that may wait to be written. Further lines are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct LineBuffer {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Collects log lines in memory; a background thread writes them out.
#[derive(Debug, Clone, Default)]
pub(crate) struct LogSink(Arc<Mutex<LineBuffer>>);

impl LogSink {
    /// Writes all buffered lines to `out`, followed by the number of dropped ones.
    pub(crate) fn flush_to(&self, out: &mut impl Write) -> io::Result<()> {
        let lines = std::mem::take(&mut *self.lock());
        out.write_all(&lines.bytes)?;
        if lines.dropped > 0 {
            writeln!(
                out,
                "{{\"level\":\"WARN\",\"message\":\"logs: lines dropped\",\"count\":{}}}",
                lines.dropped
            )?;
        }
        out.flush()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, LineBuffer> {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Write for LogSink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = self.lock();
        if buffer.bytes.len() + line.len() > MAX_BUFFERED_BYTES {
            buffer.dropped += 1;
        } else {
            buffer.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogSink {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// Installs the global subscriber with `filter` and starts the writer thread. The caller flushes
/// the returned sink before the process exits.
pub(crate) fn start(filter: &str) -> Result<LogSink, String> {
    let filter = EnvFilter::try_new(filter).map_err(|error| format!("--log: {error}"))?;
    let sink = LogSink::default();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false);
    subscriber
        .with_env_filter(filter)
        .with_writer(sink.clone())
        .init();
    let writer = sink.clone();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(FLUSH_INTERVAL);
            // A failed write to standard output can't be reported anywhere.
            let _ = writer.flush_to(&mut io::stdout().lock());
        }
    });
    Ok(sink)
}
