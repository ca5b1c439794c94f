use std::time::Duration;

/// How long a part of a document may take a link. A heartbeat that comes behind one waits this long
/// at most; the bound of 5 ms on 2 Mbit/s is tested in `configuration_growth.rs`.
const PART_TIME: Duration = Duration::from_millis(4);
/// The smallest part, in bytes: below it the heads of h2, TCP and IP (about 65 bytes) would weigh.
const SMALLEST_PART: usize = 512;
/// The largest part, in bytes: one more than this saves nothing, each costs one wake-up at both ends.
const LARGEST_PART: usize = 16 * 1_024;
/// The share of the link that documents may take while they are passed on.
const DOCUMENT_SHARE: f64 = 0.5;
/// A link whose bandwidth is not known: 1 Gbit/s, in bytes a second.
const USUAL_BYTES_PER_S: u64 = 125_000_000;

/// The bandwidth of a process's own link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkRate {
    bytes_per_s: u64,
}

impl Default for LinkRate {
    fn default() -> Self {
        Self::from_bytes_per_s(USUAL_BYTES_PER_S)
    }
}

impl LinkRate {
    /// A link that carries so many bytes a second.
    pub const fn from_bytes_per_s(bytes_per_s: u64) -> Self {
        Self { bytes_per_s }
    }

    /// The largest part of a document that may go over it at once, in bytes.
    pub fn part_bytes(self) -> usize {
        let bytes = self.bytes_per_s as f64 * PART_TIME.as_secs_f64();
        (bytes as usize).clamp(SMALLEST_PART, LARGEST_PART)
    }

    /// The pause from the start of one part to the start of the next.
    pub fn pause_after(self, part_bytes: usize) -> Duration {
        let rate = self.bytes_per_s.max(1) as f64 * DOCUMENT_SHARE;
        Duration::from_secs_f64(part_bytes as f64 / rate)
    }
}
