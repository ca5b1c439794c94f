use std::time::Duration;

use indexmap::IndexMap;
use std::hash::Hash;

use super::LinkRate;
use crate::job::{ConfigDocument, DocumentPart, DocumentRequest};
use crate::types::Moment;

/// Without a part for this long another link is asked. Longer than the fifth of a second for which a
/// server sends 350 KB to another reader first at 25 Mbit/s; short against the two seconds in which a
/// configuration has to be in force.
const PART_LIMIT: Duration = Duration::from_millis(400);
/// The longest document that is taken, in bytes: four times the platform's largest value.
const LONGEST_DOCUMENT: u32 = 4 * 1_024 * 1_024;

/// Gets the newest configuration that others have, from one of them at a time.
///
/// `S` names a link.
#[derive(Clone, Debug)]
pub struct DocumentFetch<S> {
    /// What each link's other end has said that it has.
    offers: IndexMap<S, u64>,
    /// Since when something newer has been known to exist.
    behind_since: Option<Moment>,
    transfer: Option<Transfer<S>>,
    /// The newest version that was received whole.
    received: u64,
    /// Which of the links that offer a version is asked first: each process begins with another.
    first_choice: usize,
}

#[derive(Clone, Debug)]
struct Transfer<S> {
    source: S,
    version: u64,
    bytes: Vec<u8>,
    /// When the part that is under way was asked for.
    asked: Option<Moment>,
}

impl<S: Copy + Eq + Hash> DocumentFetch<S> {
    /// Nothing is known yet; `first_choice` is any number that differs between processes.
    pub fn new(first_choice: usize) -> Self {
        Self {
            offers: IndexMap::new(),
            behind_since: None,
            transfer: None,
            received: 0,
            first_choice,
        }
    }

    /// The other end of a link has a version, 0 for none.
    pub fn record_offer(&mut self, source: S, version: u64) {
        self.offers.insert(source, version);
    }

    /// A link is gone.
    pub fn forget(&mut self, source: S) {
        self.offers.swap_remove(&source);
        if let Some(transfer) = &mut self.transfer
            && transfer.source == source
        {
            transfer.asked = None;
        }
    }

    /// The request to send now, if any. `known` is the version in force here; others are asked only
    /// `patience` after something newer was heard of, since the store may have it here sooner.
    pub fn poll(
        &mut self,
        now: Moment,
        known: u64,
        patience: Duration,
        link: LinkRate,
    ) -> Option<(S, DocumentRequest)> {
        let known = known.max(self.received);
        if self.newest_offer() <= known {
            self.behind_since = None;
            self.transfer = None;
            return None;
        }
        let since = *self.behind_since.get_or_insert(now);
        if now < since + patience {
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

    /// A part has come; returns the document when it is whole.
    pub fn receive_part(&mut self, source: S, part: DocumentPart) -> Option<ConfigDocument> {
        let transfer = self.transfer.as_mut()?;
        if transfer.source != source || part.total > LONGEST_DOCUMENT {
            return None;
        }
        if part.version != transfer.version && part.offset == 0 {
            // The other end has gone on to this version.
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
        let whole = self.transfer.take()?;
        self.received = self.received.max(whole.version);
        self.behind_since = None;
        Some(ConfigDocument {
            version: whole.version,
            bytes: whole.bytes.into(),
        })
    }

    /// When time alone changes something.
    pub fn next_tick(&self, patience: Duration) -> Option<Moment> {
        let since = self.behind_since?;
        let asked = self.transfer.as_ref().and_then(|transfer| transfer.asked);
        Some(asked.map_or(since + patience, |asked| asked + PART_LIMIT))
    }

    fn newest_offer(&self) -> u64 {
        self.offers.values().copied().max().unwrap_or_default()
    }

    fn is_waiting(&self, now: Moment) -> bool {
        let transfer = self.transfer.as_ref();
        let asked = transfer.and_then(|transfer| transfer.asked);
        asked.is_some_and(|asked| now < asked + PART_LIMIT)
    }

    /// The transfer that goes on: with its source, or with another one where that is gone or silent.
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

    /// One of the links that offer the newest version, not the silent one if there is another.
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
        let place = self.first_choice % candidates.len();
        self.first_choice = self.first_choice.wrapping_add(1);
        Some((candidates[place], newest))
    }
}
