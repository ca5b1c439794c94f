use mastknot_entry::EntryFile;
use mastknot_side::SideFile;

/// Address of every listener: a free port on loopback.
const FREE_PORT: &str = "127.0.0.1:0";

/// Description of the system that a [`Harness`](crate::Harness) starts.
///
/// # Examples
///
/// ```
/// use mastknot_harness::Plan;
///
/// let plan = Plan::new(["windhoek-1", "windhoek-2"]).entries(2).sides(4).slots(2);
/// assert_eq!(plan.slots, 2);
/// ```
#[derive(Clone, Debug)]
pub struct Plan {
    /// Halls, to which entries and sides are assigned in turn.
    pub halls: Vec<String>,
    /// Number of entries.
    pub entries: usize,
    /// Number of sides, each with a worker.
    pub sides: usize,
    /// Number of slots of each side.
    pub slots: u16,
    /// Name of the profile that sets the weights of the policy: `kalahari` or `co-op`.
    pub profile: String,
    /// Whether the workers record the starts of tasks.
    pub is_recording: bool,
}

impl Plan {
    /// Returns a plan with one entry and one side of eight slots in the first hall.
    pub fn new<T: Into<String>>(halls: impl IntoIterator<Item = T>) -> Self {
        Self {
            halls: halls.into_iter().map(Into::into).collect(),
            entries: 1,
            sides: 1,
            slots: 8,
            profile: "kalahari".to_owned(),
            is_recording: true,
        }
    }

    /// Sets the number of entries, which must not be zero.
    pub fn entries(mut self, entries: usize) -> Self {
        debug_assert!(entries > 0, "a plan needs at least one entry");
        self.entries = entries;
        self
    }

    /// Sets the number of sides.
    pub fn sides(mut self, sides: usize) -> Self {
        self.sides = sides;
        self
    }

    /// Sets the number of slots of each side.
    pub fn slots(mut self, slots: u16) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the profile of the policy.
    pub fn profile(mut self, profile: impl Into<String>) -> Self {
        self.profile = profile.into();
        self
    }

    /// Sets whether the workers record the starts of tasks.
    pub fn recording(mut self, is_recording: bool) -> Self {
        self.is_recording = is_recording;
        self
    }

    fn hall(&self, index: usize) -> &str {
        &self.halls[index % self.halls.len()]
    }

    /// Returns the settings of the entry with this index.
    pub(crate) fn entry_file(
        &self,
        index: usize,
        store: String,
        vm_list: String,
        peers: Vec<String>,
    ) -> EntryFile {
        EntryFile {
            name: format!("entry-{}", index + 1),
            hall: self.hall(index).to_owned(),
            callers_listen: FREE_PORT.to_owned(),
            operators_listen: FREE_PORT.to_owned(),
            metrics_listen: FREE_PORT.to_owned(),
            links_listen: FREE_PORT.to_owned(),
            links_address: None,
            store,
            vm_list: Some(vm_list),
            peers,
            statsd: None,
            profile: self.profile.clone(),
            max_waiting: 50_000,
            max_body_bytes: 4 * 1024 * 1024,
            answer_bytes: 24 * 1024 * 1024,
            max_records: 200_000,
            max_key_age_s: 600,
            max_clock_skew_ms: 500,
            store_limit_ms: 1_000,
            stop_deadline_ms: 20_000,
            log: Default::default(),
        }
    }

    /// Returns the settings of the side with this index.
    pub(crate) fn side_file(&self, index: usize, target: String, entries: Vec<String>) -> SideFile {
        SideFile {
            name: format!("side-{}", index + 1),
            hall: self.hall(index).to_owned(),
            target,
            slots: self.slots,
            entries,
            services: Vec::new(),
            accelerators: 0,
            memory_mib: 0,
            metrics_listen: FREE_PORT.to_owned(),
            statsd: None,
            credit_lifetime_ms: 1_500,
            stop_deadline_ms: 20_000,
            log: Default::default(),
        }
    }
}
