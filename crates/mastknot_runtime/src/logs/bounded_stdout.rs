use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};

/// The most bytes that wait to be written.
const MAX_WAITING_BYTES: usize = 256 * 1024;
/// Lines are gathered for so long before they are written.
const GATHER: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
}

#[derive(Debug, Default)]
struct Buffer {
    waiting: Mutex<Waiting>,
    arrived: Condvar,
}

impl Buffer {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: &[u8]) {
        let mut waiting = self.lock();
        if waiting.bytes.len() + line.len() > MAX_WAITING_BYTES {
            waiting.dropped += 1;
            return;
        }
        let was_empty = waiting.bytes.is_empty();
        waiting.bytes.extend_from_slice(line);
        drop(waiting);
        if was_empty {
            self.arrived.notify_one();
        }
    }

    fn wait(&self) {
        let waiting = self.lock();
        let arrived = self
            .arrived
            .wait_while(waiting, |held| held.bytes.is_empty());
        drop(arrived.unwrap_or_else(PoisonError::into_inner));
    }

    /// Writes out what waits; a line says how many lines did not fit.
    fn write_out(&self, output: &mut impl Write) -> std::io::Result<()> {
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

/// Appends lines to a bounded buffer that a thread writes to standard output.
#[derive(Debug)]
pub(super) struct BoundedStdout {
    layout: Box<dyn Layout>,
    buffer: Arc<Buffer>,
}

impl BoundedStdout {
    pub(super) fn start(layout: impl Into<Box<dyn Layout>>) -> Self {
        let buffer: Arc<Buffer> = Arc::default();
        let written = Arc::clone(&buffer);
        let writer = std::thread::Builder::new().name("log-writer".to_owned());
        let spawned = writer.spawn(move || {
            loop {
                written.wait();
                std::thread::sleep(GATHER);
                // A reader that is gone takes nothing; the process goes on.
                let _ = written.write_out(&mut std::io::stdout().lock());
            }
        });
        if let Err(error) = spawned {
            eprintln!("no log writer: {error}");
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
        let written = self.buffer.write_out(&mut std::io::stdout().lock());
        written.map_err(Error::from_io_error)
    }
}
