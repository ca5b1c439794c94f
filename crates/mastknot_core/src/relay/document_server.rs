use std::collections::HashMap;
use std::hash::Hash;

use indexmap::IndexMap;

use super::LinkRate;
use crate::job::{ConfigDocument, DocumentPart, DocumentRequest};
use crate::types::Moment;

/// Answers requests for the configuration, one part at a time over all links together.
///
/// `S` identifies a link. The reader that has most of a document gets its next part first: one
/// complete copy early is more useful than many partial ones.
#[derive(Clone, Debug)]
pub struct DocumentServer<S> {
    waiting: IndexMap<S, DocumentRequest>,
    /// Document whose transfer each reader has begun. A reader gets that version to its end, even
    /// if a newer one has arrived.
    in_progress: HashMap<S, ConfigDocument>,
    not_before: Moment,
}

impl<S> Default for DocumentServer<S> {
    fn default() -> Self {
        Self {
            waiting: IndexMap::new(),
            in_progress: HashMap::new(),
            not_before: Moment::default(),
        }
    }
}

impl<S: Copy + Eq + Hash> DocumentServer<S> {
    /// Handles a request; it replaces an earlier request of the same reader.
    pub fn request(&mut self, reader: S, request: DocumentRequest) {
        self.waiting.insert(reader, request);
    }

    /// Removes a link that is gone.
    pub fn forget(&mut self, reader: S) {
        self.waiting.swap_remove(&reader);
        self.in_progress.remove(&reader);
    }

    /// Returns the part to send now and its reader, if any.
    pub fn poll(
        &mut self,
        now: Moment,
        newest: Option<&ConfigDocument>,
        link: LinkRate,
    ) -> Option<(S, DocumentPart)> {
        if now < self.not_before {
            return None;
        }
        let newest = newest?;
        let waiting = self.waiting.iter();
        let first = waiting.max_by_key(|(_, request)| request.offset);
        let (reader, request) = first.map(|(reader, request)| (*reader, *request))?;
        self.waiting.swap_remove(&reader);
        let part = self.next_part(reader, request, newest, link);
        self.not_before = now + link.pause_after(part.bytes.len());
        Some((reader, part))
    }

    fn next_part(
        &mut self,
        reader: S,
        request: DocumentRequest,
        newest: &ConfigDocument,
        link: LinkRate,
    ) -> DocumentPart {
        let in_progress = self.in_progress.get(&reader);
        let same = in_progress.filter(|document| document.version == request.version);
        let document = same.unwrap_or(newest).clone();
        let length = document.bytes.len();
        // A reader that has begun another version starts again with this one.
        let is_same = document.version == request.version;
        let asked = if is_same { request.offset as usize } else { 0 };
        let offset = asked.min(length);
        let limit = link.part_bytes().min(request.limit.max(1) as usize);
        let end = (offset + limit).min(length);
        let part = DocumentPart {
            version: document.version,
            offset: offset as u32,
            total: length as u32,
            bytes: document.bytes[offset..end].into(),
        };
        match end < length {
            true => self.in_progress.insert(reader, document),
            false => self.in_progress.remove(&reader),
        };
        part
    }

    /// Returns the time at which the next part may be sent, if a reader waits for one.
    pub fn next_tick(&self) -> Option<Moment> {
        (!self.waiting.is_empty()).then_some(self.not_before)
    }
}
