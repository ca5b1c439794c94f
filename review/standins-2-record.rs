//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    from: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { from: Instant::now(), file })
    }

    /// Writes a line with the seconds since the start of the test.
    pub fn line(&self, text: &str) {
        let at = self.from.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{at:8.3}  {text}");
    }

    /// Returns a moment in seconds since the start of the test.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.from).as_secs_f64()
    }
}
