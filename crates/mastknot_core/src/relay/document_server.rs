use std::collections::HashMap;
use std::hash::Hash;

use indexmap::IndexMap;

use super::LinkRate;
use crate::job::{ConfigDocument, DocumentPart, DocumentRequest};
use crate::types::Moment;

/// Answers requests for the configuration, one part at a time over all links together.
///
/// `S` names a link. Whoever has most of a document gets its next part first: one whole copy early is
/// worth more than many halves.
#[derive(Clone, Debug)]
pub struct DocumentServer<S> {
    waiting: IndexMap<S, DocumentRequest>,
    /// The version that each reader has begun: it gets that one to its end, though a newer one came.
    begun: HashMap<S, ConfigDocument>,
    not_before: Moment,
}

impl<S> Default for DocumentServer<S> {
    fn default() -> Self {
        Self {
            waiting: IndexMap::new(),
            begun: HashMap::new(),
            not_before: Moment::default(),
        }
    }
}

impl<S: Copy + Eq + Hash> DocumentServer<S> {
    /// A request has come; a reader's newer request takes the place of its older one.
    pub fn request(&mut self, reader: S, request: DocumentRequest) {
        self.waiting.insert(reader, request);
    }

    /// A link is gone.
    pub fn forget(&mut self, reader: S) {
        self.waiting.swap_remove(&reader);
        self.begun.remove(&reader);
    }

    /// The part that may be sent now, and to whom.
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
        let part = self.cut(reader, request, newest, link);
        self.not_before = now + link.pause_after(part.bytes.len());
        Some((reader, part))
    }

    fn cut(
        &mut self,
        reader: S,
        request: DocumentRequest,
        newest: &ConfigDocument,
        link: LinkRate,
    ) -> DocumentPart {
        let begun = self.begun.get(&reader);
        let same = begun.filter(|document| document.version == request.version);
        let document = same.unwrap_or(newest).clone();
        let length = document.bytes.len();
        // A reader that has begun another version starts again with this one.
        let is_same = document.version == request.version;
        let asked = if is_same { request.offset as usize } else { 0 };
        let offset = asked.min(length);
        let most = link.part_bytes().min(request.limit.max(1) as usize);
        let end = (offset + most).min(length);
        let part = DocumentPart {
            version: document.version,
            offset: offset as u32,
            total: length as u32,
            bytes: document.bytes[offset..end].into(),
        };
        match end < length {
            true => self.begun.insert(reader, document),
            false => self.begun.remove(&reader),
        };
        part
    }

    /// When the next part may be sent, if anybody waits for one.
    pub fn next_tick(&self) -> Option<Moment> {
        (!self.waiting.is_empty()).then_some(self.not_before)
    }
}
