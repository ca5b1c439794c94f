//! Requests of callers, their replies, and the keys that are issued to callers.

use kameo::message::{Context, Message};
use mastknot_core::entry::{EntryEvent, RequestId};
use mastknot_core::message::Reply;
use mastknot_core::types::SubmissionKey;
use serde_json::json;

use super::EntryActor;
use super::messages::{IssueKeys, Live, Submit};

/// Maximum number of random keys that are tried for each requested key.
const MAX_TRIES_PER_KEY: usize = 1_000;

impl Message<Submit> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, submit: Submit, _: &mut Context<Self, Self::Reply>) {
        self.remove_disconnected_callers();
        let request = self.next_request;
        self.next_request += 1;
        self.callers.insert(request, submit.reply);
        let ask = submit.ask;
        self.step(EntryEvent::FromCaller { request, ask });
    }
}

impl Message<IssueKeys> for EntryActor {
    type Reply = Live;

    async fn handle(&mut self, issue: IssueKeys, _: &mut Context<Self, Self::Reply>) -> Live {
        let wall = self.shared.clock.now().wall;
        let membership = self.core.membership();
        // This entry owns one in n random keys, where n is the number of entries. The bound is far
        // above any such n.
        let tries = issue.0 * MAX_TRIES_PER_KEY;
        let keys = std::iter::repeat_with(|| SubmissionKey::new(wall, rand::random()))
            .take(tries)
            .filter(|key| membership.holds(*key))
            .take(issue.0);
        Live(keys.map(|key| json!(key.to_string())).collect())
    }
}

impl EntryActor {
    /// Sends the reply of a request to its caller, if the caller is still connected.
    pub(super) fn reply_to_caller(&mut self, request: RequestId, reply: Reply) {
        if let Some(caller) = self.callers.remove(&request) {
            // A caller that has disconnected receives the answer when it submits or fetches the key
            // again.
            let _ = caller.send(reply);
        }
    }

    /// Removes disconnected callers and reports them to the core, once in `CLEANUP_INTERVAL`
    /// requests.
    fn remove_disconnected_callers(&mut self) {
        const CLEANUP_INTERVAL: u64 = 256;
        if !self.next_request.is_multiple_of(CLEANUP_INTERVAL) {
            return;
        }
        let disconnected: Vec<RequestId> = self
            .callers
            .iter()
            .filter(|(_, caller)| caller.is_closed())
            .map(|(request, _)| *request)
            .collect();
        for request in disconnected {
            self.callers.remove(&request);
            self.step(EntryEvent::CallerGone { request });
        }
    }
}
