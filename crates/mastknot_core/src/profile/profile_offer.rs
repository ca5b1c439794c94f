use super::ProfileUpdate;
use crate::job::LearnedProfile;

/// What an entry would write, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct ProfileOffer {
    /// What it believes now.
    pub profile: LearnedProfile,
    /// What is new in it.
    pub update: ProfileUpdate,
    /// The entry's place in the order in which entries write: 0 writes, others only if those before them do not.
    pub writer_rank: usize,
}
