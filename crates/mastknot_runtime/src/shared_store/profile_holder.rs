use std::future::Future;
use std::sync::Arc;

use mastknot_core::job::LearnedProfile;
use mastknot_core::profile::ProfileOffer;

/// Access to the learned profile of an entry, which contains values from the entry's own runs and values that other
/// entries have stored.
pub trait ProfileHolder: Send + Sync + 'static {
    /// Returns the profile to write, if it differs enough from the profile that is `known` to be stored.
    fn offer(
        &self,
        known: Option<Arc<LearnedProfile>>,
    ) -> impl Future<Output = Option<ProfileOffer>> + Send;

    /// Uses a profile that was read from the store.
    fn take(&self, profile: Arc<LearnedProfile>) -> impl Future<Output = ()> + Send;
}
