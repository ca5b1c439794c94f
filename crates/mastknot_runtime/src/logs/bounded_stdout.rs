use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};

/// Maximum size of the buffer of lines that are not written yet, in bytes.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// Time for which lines are collected before they are written together.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Log lines that are not written yet, and the number of lines that were dropped.
#[derive(Debug, Default)]
struct PendingLines {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Buffer of log lines, shared with the thread that writes them.
#[derive(Debug, Default)]
struct Buffer {
    pending: Mutex<PendingLines>,
    has_lines: Condvar,
}

impl Buffer {
    fn lock(&self) -> MutexGuard<'_, PendingLines> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a line, or counts it as dropped if the buffer is full.
    fn push(&self, line: &[u8]) {
        let mut pending = self.lock();
        if pending.bytes.len() + line.len() > MAX_BUFFERED_BYTES {
            pending.dropped += 1;
            return;
        }
        let was_empty = pending.bytes.is_empty();
        pending.bytes.extend_from_slice(line);
        drop(pending);
        if was_empty {
            self.has_lines.notify_one();
        }
    }

    /// Waits until the buffer has lines.
    fn wait(&self) {
        let pending = self.lock();
        let guard = self
            .has_lines
            .wait_while(pending, |held| held.bytes.is_empty());
        drop(guard.unwrap_or_else(PoisonError::into_inner));
    }

    /// Writes the buffered lines, followed by a line with the number of dropped lines if there are any.
    fn write_pending(&self, output: &mut impl Write) -> std::io::Result<()> {
        let taken = std::mem::take(&mut *self.lock());
        output.write_all(&taken.bytes)?;
        if taken.dropped > 0 {
            let dropped = taken.dropped;
            writeln!(
                output,
                "{{\"level\":\"WARN\",\"event\":\"log_lines_dropped\",\"count\":{dropped}}}"
            )?;
        }
        output.flush()
    }
}

/// Log appender with a bounded buffer, which a separate thread writes to standard output.
#[derive(Debug)]
pub(super) struct BoundedStdout {
    layout: Box<dyn Layout>,
    buffer: Arc<Buffer>,
}

impl BoundedStdout {
    pub(super) fn start(layout: impl Into<Box<dyn Layout>>) -> Self {
        let buffer: Arc<Buffer> = Arc::default();
        let writer_buffer = Arc::clone(&buffer);
        let writer = std::thread::Builder::new().name("log-writer".to_owned());
        let spawned = writer.spawn(move || {
            loop {
                writer_buffer.wait();
                std::thread::sleep(BATCH_INTERVAL);
                // If the reader of the log is gone, the lines are lost but the process continues.
                let _ = writer_buffer.write_pending(&mut std::io::stdout().lock());
            }
        });
        if let Err(error) = spawned {
            eprintln!("cannot start the log writer: {error}");
        }
        Self {
            layout: layout.into(),
            buffer,
        }
    }
}

impl Append for BoundedStdout {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        self.buffer.push(&line);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let written = self.buffer.write_pending(&mut std::io::stdout().lock());
        written.map_err(Error::from_io_error)
    }
}
