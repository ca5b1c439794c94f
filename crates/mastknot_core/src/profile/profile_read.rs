use std::sync::Arc;

use crate::job::{LearnedProfile, ProfileError};

/// Result of a read of the document.
#[derive(Debug)]
pub enum ProfileRead {
    /// The document does not exist.
    Absent,
    /// The document holds what was read before, or what this process has written itself.
    Known,
    /// The document holds new values of another process.
    Update(Arc<LearnedProfile>),
    /// The document cannot be decoded; the values in use stay as they are.
    NotTaken(ProfileError),
}
