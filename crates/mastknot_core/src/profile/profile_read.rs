use std::sync::Arc;

use crate::job::{LearnedProfile, ProfileError};

/// What a read of the document showed.
#[derive(Debug)]
pub enum ProfileRead {
    /// Nobody has written it.
    Absent,
    /// What was read before, or what this process has written itself.
    Known,
    /// Another process's beliefs.
    Update(Arc<LearnedProfile>),
    /// Something that can't be read; what is believed stays as it is.
    NotTaken(ProfileError),
}
