use std::time::Duration;

use crate::types::{Hall, Incarnation, NodeName};

/// The default life of a credit.
const DEFAULT_CREDIT_LIFETIME: Duration = Duration::from_millis(1_500);
/// How long a start is remembered by default.
const DEFAULT_MEMORY_AGE: Duration = Duration::from_secs(60);
/// How many starts are remembered at most by default.
const DEFAULT_MEMORY_STARTS: usize = 10_000;
/// How many bytes of answers are remembered at most by default.
const DEFAULT_MEMORY_BYTES: usize = 8 * 1024 * 1024;

/// What a [`SideCore`](super::SideCore) is told at its start.
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
    /// The side's name.
    pub side: NodeName,
    /// This run of the side.
    pub incarnation: Incarnation,
    /// The hall it stands in.
    pub hall: Hall,
    /// How many tasks the target runs at once.
    pub slots: u16,
    /// Accelerators of the worker.
    pub accelerators: u16,
    /// Memory of the worker in MiB.
    pub memory_mib: u32,
    /// The services the target runs; none listed means all.
    pub services: Vec<NodeName>,
    /// How long a credit lives, on this side's monotonic clock.
    pub credit_lifetime: Duration,
    /// How long a start is remembered.
    pub memory_age: Duration,
    /// How many starts are remembered at most.
    pub memory_starts: usize,
    /// How many bytes of answers are remembered at most.
    pub memory_bytes: usize,
}

impl SideSettings {
    /// Settings with one slot and the defaults for the rest.
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

    /// Sets how many tasks the target runs at once.
    pub fn slots(mut self, slots: u16) -> Self {
        debug_assert!(slots > 0, "side {} has no slot", self.side);
        self.slots = slots;
        self
    }

    /// Sets the run of the side.
    pub fn incarnation(mut self, incarnation: Incarnation) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Sets the services the target runs.
    pub fn services<T: Into<NodeName>>(mut self, services: impl IntoIterator<Item = T>) -> Self {
        self.services = services.into_iter().map(Into::into).collect();
        self
    }

    /// Sets how long a credit lives.
    pub fn credit_lifetime(mut self, lifetime: Duration) -> Self {
        self.credit_lifetime = lifetime;
        self
    }
}
