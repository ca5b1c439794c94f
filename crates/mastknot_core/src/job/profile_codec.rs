//! Encoding of a learned profile: its format, its length, a checksum, and then its priors.
//!
//! Every value that a store returns is read safely: an incomplete, changed, older or foreign
//! document results in an error and has no other effect.

use std::sync::Arc;

use snafu::{ResultExt, ensure};
use xxhash_rust::xxh3::xxh3_64;

use super::profile_error::{
    DamagedSnafu, MalformedSnafu, NotEncodableSnafu, OtherFormatSnafu, OutOfRangeSnafu,
    ProfileError, TooLargeSnafu, WrongLengthSnafu,
};
use super::{LearnedProfile, LearnedRunTimes, LearnedSlowdown, LearnedSuspect};

/// Maximum number of bytes of a profile. A store holds some hundred kilobytes under a key, and the
/// profile is read at each start.
pub const MAX_PROFILE_BYTES: usize = 32 * 1024;

/// Format number; it is raised with each change of the meaning of the bytes.
const FORMAT: u32 = u32::from_be_bytes(*b"MKP2");
/// Length of the header: format (4 bytes), length (4) and checksum (8) of the body, each in
/// little-endian order.
const HEADER_BYTES: usize = 16;
const MAX_SLOWDOWNS: usize = 512;
const MAX_RUN_TIMES: usize = 256;
const MAX_SUSPECTS: usize = 64;
/// Maximum number of crashed sides that are kept per suspect. Contained kinds have few targets of
/// their own.
const MAX_CRASHED: usize = 16;
/// Maximum length of the name of a queue or class, in bytes.
const MAX_NAME_BYTES: usize = 96;
/// Upper bound of the logarithm of a run time or ratio; no real run time exceeds it.
const MAX_LOG: f64 = 50.0;
const PER_MILLE: u16 = 1_000;

impl LearnedProfile {
    /// Encodes the profile. If it has more priors than fit, those that are based on the most runs
    /// are kept.
    pub fn encode(&self) -> Result<Vec<u8>, ProfileError> {
        let mut kept = self.bounded();
        loop {
            let body = bincode::encode_to_vec(&kept, codec()).context(NotEncodableSnafu)?;
            if HEADER_BYTES + body.len() <= MAX_PROFILE_BYTES {
                return Ok(framed(&body));
            }
            kept.slowdowns.truncate(kept.slowdowns.len() / 2);
            kept.run_times.truncate(kept.run_times.len() / 2);
            for suspect in &mut kept.suspects {
                suspect
                    .crashed_sides
                    .truncate(suspect.crashed_sides.len() / 2);
            }
        }
    }

    /// Decodes a profile from the bytes that [`LearnedProfile::encode`] returned.
    pub fn decode(bytes: &[u8]) -> Result<Self, ProfileError> {
        let body = checked_body(bytes)?;
        let decoded = bincode::decode_from_slice::<Self, _>(body, codec());
        let (profile, length) = decoded.context(MalformedSnafu)?;
        ensure!(length == body.len() && profile.is_valid(), OutOfRangeSnafu);
        Ok(profile)
    }

    fn bounded(&self) -> Self {
        let mut kept = self.clone();
        kept.slowdowns.retain(LearnedSlowdown::is_valid);
        kept.run_times.retain(LearnedRunTimes::is_valid);
        for suspect in &mut kept.suspects {
            suspect.crashed_sides.truncate(MAX_CRASHED);
        }
        kept.suspects.retain(LearnedSuspect::is_valid);
        kept.slowdowns
            .sort_by_key(|slowdown| std::cmp::Reverse(slowdown.runs));
        kept.run_times
            .sort_by_key(|times| std::cmp::Reverse(times.steps));
        kept.slowdowns.truncate(MAX_SLOWDOWNS);
        kept.run_times.truncate(MAX_RUN_TIMES);
        kept.suspects.truncate(MAX_SUSPECTS);
        kept
    }

    fn is_valid(&self) -> bool {
        let is_small = self.slowdowns.len() <= MAX_SLOWDOWNS
            && self.run_times.len() <= MAX_RUN_TIMES
            && self.suspects.len() <= MAX_SUSPECTS;
        is_small
            && self.slowdowns.iter().all(LearnedSlowdown::is_valid)
            && self.run_times.iter().all(LearnedRunTimes::is_valid)
            && self.suspects.iter().all(LearnedSuspect::is_valid)
    }
}

impl LearnedSlowdown {
    fn is_valid(&self) -> bool {
        is_name(&self.queue) && is_name(&self.class) && is_log(self.log_ratio)
    }
}

impl LearnedRunTimes {
    fn is_valid(&self) -> bool {
        let variances = [self.estimate_variance, self.covariance];
        is_name(&self.queue)
            && is_log(self.log_estimate)
            && is_log(self.log_run_time)
            && variances
                .iter()
                .all(|value| value.abs() <= MAX_LOG * MAX_LOG)
            && self.estimate_variance >= 0.0
    }
}

impl LearnedSuspect {
    fn is_valid(&self) -> bool {
        let mut names = self.crashed_sides.iter();
        (1..=PER_MILLE).contains(&self.share_per_mille)
            && self.crashed_sides.len() <= MAX_CRASHED
            && names.all(|name| name.as_str().len() <= MAX_NAME_BYTES)
    }
}

fn is_name(name: &Arc<str>) -> bool {
    name.len() <= MAX_NAME_BYTES
}

/// Returns whether the value is within the bounds of a logarithm; false for NaN.
fn is_log(value: f64) -> bool {
    value.abs() <= MAX_LOG
}

fn codec() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_PROFILE_BYTES>()
}

fn framed(body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&FORMAT.to_le_bytes());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&xxh3_64(body).to_le_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Returns the bytes after the header, if they are complete and unchanged.
fn checked_body(bytes: &[u8]) -> Result<&[u8], ProfileError> {
    let total = bytes.len();
    ensure!(total <= MAX_PROFILE_BYTES, TooLargeSnafu { bytes: total });
    let too_short = WrongLengthSnafu {
        bytes: total,
        expected: HEADER_BYTES,
    };
    let Some((format, rest)) = bytes.split_first_chunk() else {
        return too_short.fail();
    };
    let format = u32::from_le_bytes(*format);
    ensure!(format == FORMAT, OtherFormatSnafu { format });
    let Some((length, rest)) = rest.split_first_chunk() else {
        return too_short.fail();
    };
    let Some((checksum, body)) = rest.split_first_chunk() else {
        return too_short.fail();
    };
    let length = u32::from_le_bytes(*length) as usize;
    let expected = HEADER_BYTES.saturating_add(length);
    ensure!(
        total == expected,
        WrongLengthSnafu {
            bytes: total,
            expected
        }
    );
    let is_whole = xxh3_64(body) == u64::from_le_bytes(*checksum);
    ensure!(is_whole, DamagedSnafu);
    Ok(body)
}
