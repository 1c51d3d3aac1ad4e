//! Structured log lines on standard output that never hold up a request.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Lines that wait to be written; more are dropped and counted.
const BUFFER_LIMIT: usize = 256 * 1024;
/// The pause between writes.
const WRITE_PAUSE: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct LineBuffer {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Takes lines into memory; a thread of its own writes them out.
#[derive(Debug, Clone, Default)]
pub(crate) struct LogSink(Arc<Mutex<LineBuffer>>);

impl LogSink {
    /// Writes out what is there.
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
        if buffer.bytes.len() + line.len() > BUFFER_LIMIT {
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

/// Starts logging at `filter`'s level; the sink is flushed once more at the end.
pub(crate) fn start(filter: &str) -> Result<LogSink, String> {
    let filter = EnvFilter::try_new(filter).map_err(|error| format!("--log: {error}"))?;
    let sink = LogSink::default();
    let logs = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false);
    logs.with_env_filter(filter)
        .with_writer(sink.clone())
        .init();
    let writer = sink.clone();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(WRITE_PAUSE);
            // Without a reader there is nobody to tell.
            let _ = writer.flush_to(&mut io::stdout().lock());
        }
    });
    Ok(sink)
}
