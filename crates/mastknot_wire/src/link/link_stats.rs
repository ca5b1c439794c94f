use std::sync::atomic::{AtomicU64, Ordering};

/// Counts what went over the links of one process, control apart from work.
#[derive(Debug, Default)]
pub struct LinkStats {
    work_messages_sent: AtomicU64,
    work_bytes_sent: AtomicU64,
    control_messages_sent: AtomicU64,
    control_bytes_sent: AtomicU64,
    work_messages_received: AtomicU64,
    work_bytes_received: AtomicU64,
    control_messages_received: AtomicU64,
    control_bytes_received: AtomicU64,
}

impl LinkStats {
    pub(crate) fn note_sent(&self, is_work: bool, bytes: usize) {
        if is_work {
            add(&self.work_messages_sent, 1);
            add(&self.work_bytes_sent, bytes);
        } else {
            add(&self.control_messages_sent, 1);
            add(&self.control_bytes_sent, bytes);
        }
    }

    pub(crate) fn note_received(&self, is_work: bool, bytes: usize) {
        if is_work {
            add(&self.work_messages_received, 1);
            add(&self.work_bytes_received, bytes);
        } else {
            add(&self.control_messages_received, 1);
            add(&self.control_bytes_received, bytes);
        }
    }

    /// All counters with their names.
    pub fn counters(&self) -> [(&'static str, u64); 8] {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        [
            ("work_messages_sent", read(&self.work_messages_sent)),
            ("work_bytes_sent", read(&self.work_bytes_sent)),
            ("control_messages_sent", read(&self.control_messages_sent)),
            ("control_bytes_sent", read(&self.control_bytes_sent)),
            ("work_messages_received", read(&self.work_messages_received)),
            ("work_bytes_received", read(&self.work_bytes_received)),
            (
                "control_messages_received",
                read(&self.control_messages_received),
            ),
            ("control_bytes_received", read(&self.control_bytes_received)),
        ]
    }
}

fn add(counter: &AtomicU64, by: usize) {
    counter.fetch_add(by as u64, Ordering::Relaxed);
}
