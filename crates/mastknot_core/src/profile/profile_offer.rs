use super::ProfileUpdate;
use crate::job::LearnedProfile;

/// Profile that an entry would write, and the reason for it.
#[derive(Clone, Debug, PartialEq)]
pub struct ProfileOffer {
    /// The entry's current learned values.
    pub profile: LearnedProfile,
    /// Kind of the change.
    pub update: ProfileUpdate,
    /// Rank of the entry in the order in which entries write. The entry of rank 0 writes; the
    /// others write only if those before them do not.
    pub writer_rank: usize,
}
