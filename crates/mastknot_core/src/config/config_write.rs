use serde::{Deserialize, Serialize};

/// A resource as the store holds it: the operators' value with the identifiers of its write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredResource {
    /// Identifier of the write that created this version, never used twice.
    pub nonce: String,
    /// Nonce of the version that this one replaced, if there was one.
    pub replaces: Option<String>,
    /// The operators' value; `None` marks a deletion.
    pub value: Option<serde_json::Value>,
}

/// Result of one compare-and-swap call to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteCall {
    /// The swap took effect at this revision.
    Swapped(u64),
    /// The comparison failed.
    NotSwapped,
    /// No answer was received: the swap may have taken effect, or may still do so.
    NoAnswer,
}

/// Next step of a write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteStep {
    /// Send the compare-and-swap, possibly again: replace the expected revision by the resource.
    Swap {
        /// Revision that must still be current; zero if the resource must not exist.
        expected_revision: u64,
        /// Resource to write.
        resource: StoredResource,
    },
    /// Read the resource with a consistent read.
    ReadBack,
    /// The write took effect at this revision; this is certain.
    Accepted(u64),
    /// Another write came first, and this write never takes effect; this is certain.
    Conflict(Option<(u64, StoredResource)>),
    /// This write may have taken effect before others replaced it; it can no longer be determined.
    Undecided(Option<(u64, StoredResource)>),
}

/// An operator's write, from the first call to its outcome.
///
/// After a lost answer the resource is read back and nonces are compared before an outcome is
/// reported. While the old revision is still current, an earlier copy of the swap may be in
/// transit, so the swap is sent again: at most one copy can take effect.
///
/// # Examples
///
/// ```
/// use mastknot_core::config::{ConfigWrite, WriteCall, WriteStep};
///
/// let mut write = ConfigWrite::new(4, Some("old".into()), "mine", Some(1.into()));
/// let WriteStep::Swap { resource, .. } = write.first() else { panic!() };
/// assert_eq!(write.on_call_result(WriteCall::NoAnswer), WriteStep::ReadBack);
/// assert_eq!(write.on_read_back(Some((5, resource))), WriteStep::Accepted(5));
/// ```
#[derive(Clone, Debug)]
pub struct ConfigWrite {
    expected_revision: u64,
    base_nonce: Option<String>,
    resource: StoredResource,
    had_lost_answer: bool,
}

impl ConfigWrite {
    /// Returns a write that replaces revision `expected_revision`, which was written with the nonce
    /// `base_nonce`.
    pub fn new(
        expected_revision: u64,
        base_nonce: Option<String>,
        nonce: impl Into<String>,
        value: Option<serde_json::Value>,
    ) -> Self {
        Self {
            expected_revision,
            resource: StoredResource {
                nonce: nonce.into(),
                replaces: base_nonce.clone(),
                value,
            },
            base_nonce,
            had_lost_answer: false,
        }
    }

    /// Returns the first step.
    pub fn first(&self) -> WriteStep {
        self.swap()
    }

    fn swap(&self) -> WriteStep {
        WriteStep::Swap {
            expected_revision: self.expected_revision,
            resource: self.resource.clone(),
        }
    }

    /// Handles the result of a swap, or its lost answer, and returns the next step.
    pub fn on_call_result(&mut self, call: WriteCall) -> WriteStep {
        match call {
            WriteCall::Swapped(revision) => WriteStep::Accepted(revision),
            WriteCall::NotSwapped => WriteStep::ReadBack,
            WriteCall::NoAnswer => {
                self.had_lost_answer = true;
                WriteStep::ReadBack
            }
        }
    }

    /// Handles the result of a read and returns the next step.
    pub fn on_read_back(&self, found: Option<(u64, StoredResource)>) -> WriteStep {
        let revision = found.as_ref().map_or(0, |(revision, _)| *revision);
        let nonce = found.as_ref().map(|(_, resource)| &resource.nonce);
        if nonce == Some(&self.resource.nonce) {
            return WriteStep::Accepted(revision);
        }
        if revision == self.expected_revision {
            return self.swap();
        }
        if !self.had_lost_answer {
            return WriteStep::Conflict(found);
        }
        let replaced = found.as_ref().map(|(_, resource)| &resource.replaces);
        if replaced == Some(&self.base_nonce) {
            return WriteStep::Conflict(found);
        }
        let replaced_ours = replaced == Some(&Some(self.resource.nonce.clone()));
        match found {
            // This write was accepted and has been replaced since.
            Some((revision, _)) if replaced_ours => WriteStep::Accepted(revision),
            found => WriteStep::Undecided(found),
        }
    }
}
