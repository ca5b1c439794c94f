//! The planned stop: leave the roster, finish, hand over, end.

use super::{EntryCore, EntryEffect};
use crate::message::{HandoverRecord, PeerMessage};
use crate::types::Now;

/// Maximum number of records in one handover message.
const RECORDS_PER_MESSAGE: usize = 64;

impl EntryCore {
    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping
    }

    pub(super) fn stop(&mut self, now: Now, out: &mut Vec<EntryEffect>) {
        if self.is_stopping {
            return;
        }
        self.is_stopping = true;
        self.with_membership(now, out, |m, e| m.leave(now, e));
    }

    /// Ends the planned stop once the entry has left the roster and no request is open.
    pub(super) fn check_stopped(&mut self, now: Now, out: &mut Vec<EntryEffect>) {
        if !self.is_stopping || self.has_stopped {
            return;
        }
        let is_out = !self.membership.is_member() || self.is_only_member();
        let is_quiet = self.dispatcher.active() == 0
            && self.forwards.is_empty()
            && self.key_queries.is_empty()
            && self.rebuilds.is_empty();
        if !is_out || !is_quiet {
            return;
        }
        self.has_stopped = true;
        self.hand_over(now, out);
        out.push(EntryEffect::Stopped);
    }

    /// Sends each finished submission to its new owner, and informs all peers that the handover is
    /// complete.
    fn hand_over(&mut self, _now: Now, out: &mut Vec<EntryEffect>) {
        let Some(roster) = self.membership.roster().cloned() else {
            return;
        };
        let mut by_owner: std::collections::BTreeMap<_, Vec<HandoverRecord>> =
            std::collections::BTreeMap::new();
        for record in self.ledger.finished_records() {
            if let Some(owner) = roster.holder(record.key) {
                let name = owner.id.name.clone();
                by_owner.entry(name).or_default().push(record);
            }
        }
        for (peer, records) in by_owner {
            for chunk in records.chunks(RECORDS_PER_MESSAGE) {
                let message = PeerMessage::Handover {
                    records: chunk.to_vec(),
                    is_complete: false,
                };
                let peer = peer.clone();
                out.push(EntryEffect::ToPeer { peer, message });
            }
        }
        for peer in self.membership.connected() {
            let message = PeerMessage::Handover {
                records: Vec::new(),
                is_complete: true,
            };
            let peer = peer.clone();
            out.push(EntryEffect::ToPeer { peer, message });
        }
    }
}
