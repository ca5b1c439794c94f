use crate::job::LearnedProfile;

/// Values that other processes have learned and that are not used yet.
///
/// Whether queues are ranked is known only with the first job. Until then the values are pending, so that a deployment
/// without ranked queues uses only what its own runs show.
#[derive(Clone, Debug, Default)]
pub(crate) struct LearnedPriors {
    /// Whether a job has come to a ranked queue.
    pub(crate) has_ranked_queue: bool,
    /// Slowdowns and run times that are not used yet.
    pub(crate) pending: LearnedProfile,
}
