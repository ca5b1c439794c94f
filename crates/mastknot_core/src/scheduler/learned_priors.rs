use crate::job::LearnedProfile;

/// What other processes have learned, as far as it is not used yet.
///
/// Whether queues are ranked is known with the first job. Until then paces wait here, so that those of a deployment without
/// ranked queues stay what its own runs say.
#[derive(Clone, Debug, Default)]
pub(crate) struct LearnedPriors {
    /// Whether a ranked queue has been seen.
    pub(crate) has_ranked_queue: bool,
    /// Paces and run times that wait.
    pub(crate) pending: LearnedProfile,
}
