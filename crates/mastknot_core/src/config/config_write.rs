use serde::{Deserialize, Serialize};

/// A resource as the store holds it: the operators' value with the marks of its write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredResource {
    /// The write that made this version; never used twice.
    pub nonce: String,
    /// The nonce of the version that it replaced, if there was one.
    pub replaces: Option<String>,
    /// The operators' value; none marks a deletion.
    pub value: Option<serde_json::Value>,
}

/// What the store did with one call of a write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteCall {
    /// The swap took effect at this revision.
    Swapped(u64),
    /// The comparison failed.
    NotSwapped,
    /// No answer came: it may have taken effect, or may yet.
    NoAnswer,
}

/// What to do next with a write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteStep {
    /// Send the compare-and-swap (again): replace the revision by the resource.
    Swap {
        /// The revision that must still stand; zero for none.
        expected_revision: u64,
        /// What to write.
        resource: StoredResource,
    },
    /// Read the resource, consistently.
    ReadBack,
    /// The write took effect at this revision, for certain.
    Accepted(u64),
    /// Another write came first, for certain: ours never takes effect.
    Conflict(Option<(u64, StoredResource)>),
    /// Ours may have taken effect before others replaced it; nobody can tell any more.
    Undecided(Option<(u64, StoredResource)>),
}

/// One operator's write, from the first call to a certain end.
///
/// After a lost answer it reads back and compares nonces before it says anything. As long as the
/// old revision still stands, a copy of the swap may be on its way, so the swap is sent again:
/// only one copy can take effect.
///
/// # Examples
///
/// ```
/// use mastknot_core::config::{ConfigWrite, WriteCall, WriteStep};
///
/// let mut write = ConfigWrite::new(4, Some("old".into()), "mine", Some(1.into()));
/// let WriteStep::Swap { resource, .. } = write.first() else { panic!() };
/// assert_eq!(write.called(WriteCall::NoAnswer), WriteStep::ReadBack);
/// assert_eq!(write.read_back(Some((5, resource))), WriteStep::Accepted(5));
/// ```
#[derive(Clone, Debug)]
pub struct ConfigWrite {
    expected_revision: u64,
    base_nonce: Option<String>,
    resource: StoredResource,
    had_lost_answer: bool,
}

impl ConfigWrite {
    /// A write that replaces revision `expected_revision`, which the write `base_nonce` made.
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

    /// The first step.
    pub fn first(&self) -> WriteStep {
        self.swap()
    }

    fn swap(&self) -> WriteStep {
        WriteStep::Swap {
            expected_revision: self.expected_revision,
            resource: self.resource.clone(),
        }
    }

    /// The store has answered a swap, or has not.
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

    /// The store has answered the read.
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
            // Ours was accepted and has been replaced since.
            Some((revision, _)) if replaced_ours => WriteStep::Accepted(revision),
            found => WriteStep::Undecided(found),
        }
    }
}
