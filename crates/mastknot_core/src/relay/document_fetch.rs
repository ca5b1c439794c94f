use std::time::Duration;

use indexmap::IndexMap;
use std::hash::Hash;

use super::LinkRate;
use crate::job::{ConfigDocument, DocumentPart, DocumentRequest};
use crate::types::Moment;

/// Time without the requested part after which another link is asked. It must be longer than the
/// 0.2 s that a server needs to send 350 KB to another reader first at 25 Mbit/s, and short against
/// the 2 s in which a configuration has to be in force.
const PART_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum length of a document, in bytes: four times the platform's largest value.
const MAX_DOCUMENT_BYTES: u32 = 4 * 1_024 * 1_024;

/// Fetches the newest configuration that other processes have, from one of them at a time.
///
/// `S` identifies a link.
#[derive(Clone, Debug)]
pub struct DocumentFetch<S> {
    /// Version that the other end of each link has reported.
    offers: IndexMap<S, u64>,
    /// Time since which a newer version has been known to exist.
    behind_since: Option<Moment>,
    transfer: Option<Transfer<S>>,
    /// Newest version that was received completely.
    received: u64,
    /// Counter that selects the first link to ask among those that offer a version. Its start
    /// differs between processes, so that they ask different links.
    first_choice: usize,
}

#[derive(Clone, Debug)]
struct Transfer<S> {
    source: S,
    version: u64,
    bytes: Vec<u8>,
    /// Time at which the outstanding part was requested.
    asked: Option<Moment>,
}

impl<S: Copy + Eq + Hash> DocumentFetch<S> {
    /// Returns a fetch without any offers. `first_choice` is any number that differs between
    /// processes.
    pub fn new(first_choice: usize) -> Self {
        Self {
            offers: IndexMap::new(),
            behind_since: None,
            transfer: None,
            received: 0,
            first_choice,
        }
    }

    /// Records the version that the other end of a link has; 0 for none.
    pub fn record_offer(&mut self, source: S, version: u64) {
        self.offers.insert(source, version);
    }

    /// Removes a link that is gone.
    pub fn forget(&mut self, source: S) {
        self.offers.swap_remove(&source);
        if let Some(transfer) = &mut self.transfer
            && transfer.source == source
        {
            transfer.asked = None;
        }
    }

    /// Returns the request to send now, if any. `known` is the version in force at this process.
    /// Other processes are asked only after a newer version has been known for `store_timeout`,
    /// since the store may deliver it sooner.
    pub fn poll(
        &mut self,
        now: Moment,
        known: u64,
        store_timeout: Duration,
        link: LinkRate,
    ) -> Option<(S, DocumentRequest)> {
        let known = known.max(self.received);
        if self.newest_offer() <= known {
            self.behind_since = None;
            self.transfer = None;
            return None;
        }
        let since = *self.behind_since.get_or_insert(now);
        if now < since + store_timeout {
            return None;
        }
        if self.is_waiting(now) {
            return None;
        }
        let transfer = self.next_transfer(known)?;
        transfer.asked = Some(now);
        let request = DocumentRequest {
            version: transfer.version,
            offset: transfer.bytes.len() as u32,
            limit: link.part_bytes() as u32,
        };
        Some((transfer.source, request))
    }

    /// Handles a part and returns the document once it is complete.
    pub fn receive_part(&mut self, source: S, part: DocumentPart) -> Option<ConfigDocument> {
        let transfer = self.transfer.as_mut()?;
        if transfer.source != source || part.total > MAX_DOCUMENT_BYTES {
            return None;
        }
        if part.version != transfer.version && part.offset == 0 {
            // The other end has moved on to this version.
            transfer.version = part.version;
            transfer.bytes.clear();
        }
        let is_next =
            part.version == transfer.version && part.offset as usize == transfer.bytes.len();
        if !is_next {
            return None;
        }
        transfer.bytes.extend_from_slice(&part.bytes);
        transfer.asked = None;
        if transfer.bytes.len() < part.total as usize {
            return None;
        }
        let transfer = self.transfer.take()?;
        self.received = self.received.max(transfer.version);
        self.behind_since = None;
        Some(ConfigDocument {
            version: transfer.version,
            bytes: transfer.bytes.into(),
        })
    }

    /// Returns the time at which [`DocumentFetch::poll`] may have a request without a further
    /// event.
    pub fn next_tick(&self, store_timeout: Duration) -> Option<Moment> {
        let since = self.behind_since?;
        let asked = self.transfer.as_ref().and_then(|transfer| transfer.asked);
        Some(asked.map_or(since + store_timeout, |asked| asked + PART_TIMEOUT))
    }

    fn newest_offer(&self) -> u64 {
        self.offers.values().copied().max().unwrap_or_default()
    }

    fn is_waiting(&self, now: Moment) -> bool {
        let transfer = self.transfer.as_ref();
        let asked = transfer.and_then(|transfer| transfer.asked);
        asked.is_some_and(|asked| now < asked + PART_TIMEOUT)
    }

    /// Returns the transfer to continue: with its source, or with another one if that is gone or
    /// silent.
    fn next_transfer(&mut self, known: u64) -> Option<&mut Transfer<S>> {
        let goes_on = self.transfer.as_ref().is_some_and(|transfer| {
            transfer.asked.is_none() && self.offers.contains_key(&transfer.source)
        });
        if !goes_on {
            let silent = self.transfer.as_ref().map(|transfer| transfer.source);
            let (source, version) = self.choose(known, silent)?;
            let former = self.transfer.take();
            let kept = former.filter(|former| former.version == version);
            self.transfer = Some(Transfer {
                source,
                version,
                bytes: kept.map(|former| former.bytes).unwrap_or_default(),
                asked: None,
            });
        }
        self.transfer.as_mut()
    }

    /// Returns one of the links that offer the newest version, avoiding the silent one if there is
    /// another.
    fn choose(&mut self, known: u64, silent: Option<S>) -> Option<(S, u64)> {
        let newest = self.newest_offer();
        if newest <= known {
            return None;
        }
        let offering = self.offers.iter();
        let offering = offering.filter(|(_, version)| **version == newest);
        let offering: Vec<S> = offering.map(|(source, _)| *source).collect();
        let others: Vec<S> = offering
            .iter()
            .copied()
            .filter(|source| Some(*source) != silent)
            .collect();
        let candidates = if others.is_empty() { offering } else { others };
        let index = self.first_choice % candidates.len();
        self.first_choice = self.first_choice.wrapping_add(1);
        Some((candidates[index], newest))
    }
}
