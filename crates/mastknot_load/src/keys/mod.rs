//! Keys of submissions over HTTP.

use std::time::{SystemTime, UNIX_EPOCH};

use mastknot_core::types::{SubmissionKey, WallTime};

/// Returns a new key with the current time.
pub(crate) fn new_key() -> SubmissionKey {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.unwrap_or_default().as_millis() as u64;
    SubmissionKey::new(WallTime::from_millis(millis), rand::random())
}
