use std::collections::HashMap;
use std::sync::Arc;

/// Records which services have queues of several priorities. Only for these is there a choice to
/// make when their targets are short of capacity.
#[derive(Clone, Debug, Default)]
pub struct QueueRanks {
    services: HashMap<Arc<str>, ServiceRanks>,
}

#[derive(Clone, Copy, Debug)]
struct ServiceRanks {
    first: u32,
    has_others: bool,
}

impl QueueRanks {
    /// Records that a queue of this service has this priority.
    pub fn record(&mut self, service: &str, priority: u32) {
        if let Some(known) = self.services.get_mut(service) {
            known.has_others |= known.first != priority;
            return;
        }
        let known = ServiceRanks {
            first: priority,
            has_others: false,
        };
        self.services.insert(Arc::from(service), known);
    }

    /// Returns whether the queues of a service have several priorities.
    pub fn is_ranked(&self, service: &str) -> bool {
        self.services
            .get(service)
            .is_some_and(|known| known.has_others)
    }
}
