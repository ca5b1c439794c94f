use std::time::Duration;

/// Maximum time for which a part of a document may occupy a link. A heartbeat that is sent after
/// the part waits at most this long; `configuration_growth.rs` tests the bound of 5 ms at 2 Mbit/s.
const MAX_PART_TIME: Duration = Duration::from_millis(4);
/// Smallest part, in bytes. Below this size the headers of HTTP/2, TCP and IP (about 65 bytes)
/// would take a notable share.
const MIN_PART_BYTES: usize = 512;
/// Largest part, in bytes. Larger parts save nothing, since each part costs one wake-up at both
/// ends.
const MAX_PART_BYTES: usize = 16 * 1_024;
/// Share of the link that documents may take while they are transferred.
const DOCUMENT_SHARE: f64 = 0.5;
/// Bandwidth of a link whose bandwidth is not known: 1 Gbit/s, in bytes per second.
const DEFAULT_BYTES_PER_S: u64 = 125_000_000;

/// Bandwidth of a process's own link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkRate {
    bytes_per_s: u64,
}

impl Default for LinkRate {
    fn default() -> Self {
        Self::from_bytes_per_s(DEFAULT_BYTES_PER_S)
    }
}

impl LinkRate {
    /// Returns a link with this bandwidth, in bytes per second.
    pub const fn from_bytes_per_s(bytes_per_s: u64) -> Self {
        Self { bytes_per_s }
    }

    /// Returns the maximum size of a part of a document that may be sent at once, in bytes.
    pub fn part_bytes(self) -> usize {
        let bytes = self.bytes_per_s as f64 * MAX_PART_TIME.as_secs_f64();
        (bytes as usize).clamp(MIN_PART_BYTES, MAX_PART_BYTES)
    }

    /// Returns the time from the start of a part of this size to the start of the next part.
    pub fn pause_after(self, part_bytes: usize) -> Duration {
        let rate = self.bytes_per_s.max(1) as f64 * DOCUMENT_SHARE;
        Duration::from_secs_f64(part_bytes as f64 / rate)
    }
}
