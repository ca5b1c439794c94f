//! Actions of callers and operators.

use mastknot_core::config::{ConfigWrite, StoredResource, WriteCall, WriteStep};
use mastknot_core::entry::{CallerRequest, EntryEvent, RequestId};
use mastknot_core::message::{ResourceName, Submission};
use mastknot_core::side::SideEvent;
use mastknot_core::types::SubmissionKey;
use rand::RngExt;

use super::virtual_system::*;
use super::{EntryIndex, SideIndex};
use crate::MessageKind;

impl VirtualSystem {
    /// Returns a new key that is created at the current time.
    pub fn new_key(&mut self) -> SubmissionKey {
        SubmissionKey::new(self.wall(0), self.rng.random())
    }

    /// Sends a submission to an entry and returns the number of the request.
    pub fn submit(&mut self, entry: EntryIndex, submission: Submission) -> RequestId {
        let at = self.now;
        self.submit_at(at, entry, submission)
    }

    /// Sends a submission to an entry at the time `at`, in microseconds, and returns the number of the
    /// request.
    pub fn submit_at(&mut self, at: u64, entry: EntryIndex, submission: Submission) -> RequestId {
        let request = self.next_request;
        self.next_request += 1;
        self.requests.insert(
            request,
            SubmittedRequest {
                submission,
                sent_at: at,
                sent_to: None,
                reply: None,
            },
        );
        let arrives = at + self.delays.to_callers.as_micros() as u64;
        self.schedule
            .add(arrives, Action::Submit { entry, request });
        request
    }

    pub(super) fn submit_now(&mut self, entry: EntryIndex, request: RequestId) {
        let ask = CallerRequest::Submit {
            submission: self.requests[&request].submission.clone(),
            wait: true,
        };
        let run = self.entries[entry].incarnation();
        if let Some(submitted) = self.requests.get_mut(&request) {
            submitted.sent_to = Some((entry, run));
        }
        self.fire_triggers(MessageKind::Submit, Some(entry), None);
        self.at_entry(self.now, entry, EntryEvent::FromCaller { request, ask });
    }

    /// Requests a planned stop of an entry.
    pub fn stop_entry(&mut self, entry: EntryIndex) {
        self.at_entry(self.now, entry, EntryEvent::Stop);
    }

    /// Requests that a side leave.
    pub fn drain_side(&mut self, side: SideIndex) {
        self.at_side(self.now, side, SideEvent::Drain);
    }

    /// Writes a resource at once, as an operator does, and returns the last step of the write.
    pub fn write_resource(&mut self, kind: &str, name: &str, value: &str) -> WriteStep {
        let resource = ResourceName::new(kind, name);
        let current = self.store.resource(&resource);
        let (revision, base) = match &current {
            Some((revision, stored)) => (*revision, Some(stored.nonce.clone())),
            None => (0, None),
        };
        let nonce: u64 = self.rng.random();
        let value = value.parse().ok();
        let mut write = ConfigWrite::new(revision, base, nonce.to_string(), value);
        let mut step = write.first();
        for _ in 0..10 {
            step = match step {
                WriteStep::Swap {
                    expected_revision,
                    resource: stored,
                } => {
                    let call = self.swap_resource(&resource, expected_revision, stored);
                    write.on_call_result(call)
                }
                WriteStep::ReadBack => write.on_read_back(self.store.resource(&resource)),
                done => return done,
            };
        }
        step
    }

    pub(super) fn swap_resource(
        &mut self,
        name: &ResourceName,
        expected: u64,
        stored: StoredResource,
    ) -> WriteCall {
        self.store.calls += 1;
        if self.store.faults.is_down {
            return WriteCall::NoAnswer;
        }
        let call = self.store.write_resource(name, expected, stored);
        if matches!(call, WriteCall::Swapped(_)) && self.store.loses_answer() {
            return WriteCall::NoAnswer;
        }
        call
    }
}
