use std::time::Duration;

use crate::types::{Hall, Incarnation, NodeName};

/// Default lifetime of a credit.
const DEFAULT_CREDIT_LIFETIME: Duration = Duration::from_millis(1_500);
/// Default time for which a start is remembered.
const DEFAULT_MEMORY_AGE: Duration = Duration::from_secs(60);
/// Default maximum number of remembered starts.
const DEFAULT_MEMORY_STARTS: usize = 10_000;
/// Default maximum size of the remembered answers, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 8 * 1024 * 1024;

/// Settings of a [`SideCore`](super::SideCore).
///
/// # Examples
///
/// ```
/// use mastknot_core::side::SideSettings;
///
/// let settings = SideSettings::new("side-1", "windhoek-1").slots(4).services(["orders"]);
/// assert_eq!(settings.slots, 4);
/// ```
#[derive(Clone, Debug)]
pub struct SideSettings {
    /// Name of the side.
    pub side: NodeName,
    /// Incarnation of the side process.
    pub incarnation: Incarnation,
    /// Hall in which the side runs.
    pub hall: Hall,
    /// Number of tasks that the target runs at once.
    pub slots: u16,
    /// Number of accelerators of the worker.
    pub accelerators: u16,
    /// Memory of the worker, in MiB.
    pub memory_mib: u32,
    /// Services that the target runs; an empty list means all services.
    pub services: Vec<NodeName>,
    /// Lifetime of a credit, on the monotonic clock of the side.
    pub credit_lifetime: Duration,
    /// Time for which a start is remembered.
    pub memory_age: Duration,
    /// Maximum number of remembered starts.
    pub memory_starts: usize,
    /// Maximum size of the remembered answers, in bytes.
    pub memory_bytes: usize,
}

impl SideSettings {
    /// Creates settings with one slot and defaults for the rest.
    pub fn new(side: impl Into<NodeName>, hall: impl Into<Hall>) -> Self {
        Self {
            side: side.into(),
            incarnation: Incarnation(1),
            hall: hall.into(),
            slots: 1,
            accelerators: 0,
            memory_mib: 0,
            services: Vec::new(),
            credit_lifetime: DEFAULT_CREDIT_LIFETIME,
            memory_age: DEFAULT_MEMORY_AGE,
            memory_starts: DEFAULT_MEMORY_STARTS,
            memory_bytes: DEFAULT_MEMORY_BYTES,
        }
    }

    /// Sets the number of tasks that the target runs at once.
    pub fn slots(mut self, slots: u16) -> Self {
        debug_assert!(slots > 0, "side {} has no slot", self.side);
        self.slots = slots;
        self
    }

    /// Sets the incarnation of the side process.
    pub fn incarnation(mut self, incarnation: Incarnation) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Sets the services that the target runs.
    pub fn services<T: Into<NodeName>>(mut self, services: impl IntoIterator<Item = T>) -> Self {
        self.services = services.into_iter().map(Into::into).collect();
        self
    }

    /// Sets the lifetime of a credit.
    pub fn credit_lifetime(mut self, lifetime: Duration) -> Self {
        self.credit_lifetime = lifetime;
        self
    }
}
