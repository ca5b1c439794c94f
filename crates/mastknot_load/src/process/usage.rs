use std::time::Duration;

/// What a process has used so far, as the kernel counts it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    /// Processor time, user and system.
    pub(crate) processor: Duration,
    /// Resident memory in bytes.
    pub(crate) resident: u64,
}

/// The kernel's clock ticks a second, which Linux fixes for user space.
const TICKS_PER_SECOND: u64 = 100;

impl Usage {
    /// Reads the usage of a process; none if it is gone.
    pub(crate) fn of(pid: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The name in parentheses may hold spaces: the fields are counted from behind it.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: u64 =
            fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(Self {
            processor: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
            resident: kib * 1024,
        })
    }
}
