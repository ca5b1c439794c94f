use super::virtual_target::{VirtualProbe, VirtualTarget};

/// Slot of a side's target, which persists over the target's incarnations.
pub(super) struct TargetSlot {
    /// Target; `None` while it is down.
    pub(super) target: Option<VirtualTarget>,
    pub(super) target_incarnation: u64,
    /// Whether a target that is down is silent. Otherwise it refuses connections.
    pub(super) is_silent: bool,
    /// Number of calls to the target so far.
    pub(super) calls: u64,
    /// Number of stop orders that arrived while the target was late to apply some of them.
    pub(super) stops: u64,
    /// Probe that the target has received and not answered yet.
    pub(super) open_probe: Option<OpenProbe>,
    /// Time of the next scheduled [`Action::TargetDue`](super::action::Action::TargetDue), in microseconds.
    pub(super) due_at: Option<u64>,
    /// Earliest time at which reports of the target arrive, in microseconds.
    pub(super) reports_delayed_until: u64,
    /// Number of the report that arrived last. `inferred_restarts` counts the reports with a lower number
    /// than the one before.
    pub(super) last_report_number: u64,
    pub(super) inferred_restarts: u64,
}

/// Probe whose answer waits for a run to end.
#[derive(Clone, Debug)]
pub(super) struct OpenProbe {
    pub(super) number: u64,
    /// Incarnation of the side that sent the probe.
    pub(super) incarnation: u64,
    pub(super) probe: VirtualProbe,
    /// Time after which the side gives up the probe, in microseconds.
    pub(super) timeout: u64,
}
