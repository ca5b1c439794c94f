use std::fmt;
use std::str::FromStr;

use bincode::{Decode, Encode};
use snafu::{OptionExt, ResultExt, Snafu};
use uuid::Uuid;

use super::WallTime;

/// Key that a caller gives one submission: a UUIDv7, which includes the time of its creation.
///
/// A resubmission uses the same key.
///
/// # Examples
///
/// ```
/// use mastknot_core::types::SubmissionKey;
///
/// let key: SubmissionKey = "019a0000-0000-7000-8000-000000000001".parse().unwrap();
/// assert_eq!(key.made_at().as_millis(), 0x019a_0000_0000);
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct SubmissionKey(u128);

/// Reason why a text is not a submission key.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum KeyError {
    /// The text is not a UUID.
    #[snafu(display("the key {text:?} is not a UUID"))]
    NotUuid {
        /// Text that was given.
        text: String,
        /// Error of the UUID parser.
        source: uuid::Error,
    },
    /// The UUID is not of version 7, so its age is unknown.
    #[snafu(display("the key {text:?} is not a UUIDv7, so its creation time is unknown"))]
    NoTime {
        /// Text that was given.
        text: String,
    },
}

impl SubmissionKey {
    /// Returns a key created at `wall` with `random` as its random part.
    pub fn new(wall: WallTime, random: u128) -> Self {
        let bytes = random.to_be_bytes();
        let mut tail = [0_u8; 10];
        tail.copy_from_slice(&bytes[6..]);
        let uuid = uuid::Builder::from_unix_timestamp_millis(wall.as_millis(), &tail).into_uuid();
        Self(uuid.as_u128())
    }

    /// Returns the time at which the caller created the key, by the caller's clock.
    pub fn made_at(self) -> WallTime {
        WallTime::from_millis((self.0 >> 80) as u64)
    }

    /// Returns the key as bytes, for hashing.
    pub fn to_bytes(self) -> [u8; 16] {
        self.0.to_be_bytes()
    }
}

impl FromStr for SubmissionKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let uuid = Uuid::parse_str(text).context(NotUuidSnafu { text })?;
        uuid.get_timestamp()
            .filter(|_| uuid.get_version_num() == 7)
            .context(NoTimeSnafu { text })?;
        Ok(Self(uuid.as_u128()))
    }
}

impl fmt::Display for SubmissionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&Uuid::from_u128(self.0), f)
    }
}

impl fmt::Debug for SubmissionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
