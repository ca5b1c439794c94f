use std::future::Future;
use std::sync::Arc;

use mastknot_core::job::LearnedProfile;
use mastknot_core::profile::ProfileOffer;

/// Holder of a learned profile: an entry, which learns from its own runs and uses what others have learned.
pub trait ProfileHolder: Send + Sync + 'static {
    /// Returns the profile to write, if it differs enough from the profile that is `known` to be stored.
    fn offer(
        &self,
        known: Option<Arc<LearnedProfile>>,
    ) -> impl Future<Output = Option<ProfileOffer>> + Send;

    /// Uses a profile that was read from the store.
    fn take(&self, profile: Arc<LearnedProfile>) -> impl Future<Output = ()> + Send;
}
