//! Callers' requests on their way to the core and back, and the keys that are issued to callers.

use kameo::message::{Context, Message};
use mastknot_core::entry::{EntryEvent, RequestId};
use mastknot_core::message::Reply;
use mastknot_core::types::SubmissionKey;
use serde_json::json;

use super::EntryActor;
use super::messages::{IssueKeys, Live, Submit};

/// Keys that are tried for each that is asked for, at most.
const KEY_TRIES: usize = 1_000;

impl Message<Submit> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, submit: Submit, _: &mut Context<Self, Self::Reply>) {
        self.forget_gone_callers();
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
        // Each try hits with one in as many as there are entries; the bound is far beyond that.
        let tries = issue.0 * KEY_TRIES;
        let keys = std::iter::repeat_with(|| SubmissionKey::new(wall, rand::random()))
            .take(tries)
            .filter(|key| membership.holds(*key))
            .take(issue.0);
        Live(keys.map(|key| json!(key.to_string())).collect())
    }
}

impl EntryActor {
    pub(super) fn reply_to_caller(&mut self, request: RequestId, reply: Reply) {
        if let Some(caller) = self.callers.remove(&request) {
            // A caller that hung up finds its answer when it asks again.
            let _ = caller.send(reply);
        }
    }

    /// Tells the core of callers that hung up, a few at a time.
    fn forget_gone_callers(&mut self) {
        const EVERY: u64 = 256;
        if !self.next_request.is_multiple_of(EVERY) {
            return;
        }
        let gone: Vec<RequestId> = self
            .callers
            .iter()
            .filter(|(_, caller)| caller.is_closed())
            .map(|(request, _)| *request)
            .collect();
        for request in gone {
            self.callers.remove(&request);
            self.step(EntryEvent::CallerGone { request });
        }
    }
}
