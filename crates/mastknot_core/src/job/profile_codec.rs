//! A learned profile as bytes: its format, its length, a checksum, and then its beliefs.
//!
//! Whatever a store gives back is read safely: a half, changed, older or foreign document is an error and nothing else.

use std::sync::Arc;

use snafu::{ResultExt, ensure};
use xxhash_rust::xxh3::xxh3_64;

use super::profile_error::{
    CutSnafu, DamagedSnafu, MalformedSnafu, OtherFormatSnafu, ProfileError, TooLargeSnafu,
    UnsoundSnafu, UnwritableSnafu,
};
use super::{LearnedProfile, LearnedRunTimes, LearnedSlowdown, LearnedSuspect};

/// The most bytes of a profile: a store holds some hundred kilobytes under a key, and this is read at each start.
pub const MAX_PROFILE_BYTES: usize = 32 * 1024;

/// Goes up with each change of what the bytes mean.
const FORMAT: u32 = u32::from_be_bytes(*b"MKP2");
/// Format (4 bytes), length (4) and checksum (8) of what follows, each with its lowest byte first.
const HEADER_BYTES: usize = 16;
const MAX_PACES: usize = 512;
const MAX_RUN_TIMES: usize = 256;
const MAX_SUSPECTS: usize = 64;
/// The most sides that are kept of one suspect: kinds have few targets of their own.
const MAX_CRASHED: usize = 16;
/// The longest name of a queue or class.
const MAX_NAME_BYTES: usize = 96;
/// No logarithm of a time or ratio is larger: a run takes less than ages.
const MAX_LOG: f64 = 50.0;
const PER_MILLE: u16 = 1_000;

impl LearnedProfile {
    /// Its bytes. Where it has more beliefs than are kept, those that stand on the most runs are.
    pub fn encode(&self) -> Result<Vec<u8>, ProfileError> {
        let mut kept = self.bounded();
        loop {
            let body = bincode::encode_to_vec(&kept, codec()).context(UnwritableSnafu)?;
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

    /// Reads its bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, ProfileError> {
        let body = checked_body(bytes)?;
        let decoded = bincode::decode_from_slice::<Self, _>(body, codec());
        let (profile, length) = decoded.context(MalformedSnafu)?;
        ensure!(length == body.len() && profile.is_sound(), UnsoundSnafu);
        Ok(profile)
    }

    fn bounded(&self) -> Self {
        let mut kept = self.clone();
        kept.slowdowns.retain(LearnedSlowdown::is_sound);
        kept.run_times.retain(LearnedRunTimes::is_sound);
        for suspect in &mut kept.suspects {
            suspect.crashed_sides.truncate(MAX_CRASHED);
        }
        kept.suspects.retain(LearnedSuspect::is_sound);
        kept.slowdowns
            .sort_by_key(|pace| std::cmp::Reverse(pace.runs));
        kept.run_times
            .sort_by_key(|times| std::cmp::Reverse(times.steps));
        kept.slowdowns.truncate(MAX_PACES);
        kept.run_times.truncate(MAX_RUN_TIMES);
        kept.suspects.truncate(MAX_SUSPECTS);
        kept
    }

    fn is_sound(&self) -> bool {
        let is_small = self.slowdowns.len() <= MAX_PACES
            && self.run_times.len() <= MAX_RUN_TIMES
            && self.suspects.len() <= MAX_SUSPECTS;
        is_small
            && self.slowdowns.iter().all(LearnedSlowdown::is_sound)
            && self.run_times.iter().all(LearnedRunTimes::is_sound)
            && self.suspects.iter().all(LearnedSuspect::is_sound)
    }
}

impl LearnedSlowdown {
    fn is_sound(&self) -> bool {
        is_name(&self.queue) && is_name(&self.class) && is_log(self.log_ratio)
    }
}

impl LearnedRunTimes {
    fn is_sound(&self) -> bool {
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
    fn is_sound(&self) -> bool {
        let mut names = self.crashed_sides.iter();
        (1..=PER_MILLE).contains(&self.share_per_mille)
            && self.crashed_sides.len() <= MAX_CRASHED
            && names.all(|name| name.as_str().len() <= MAX_NAME_BYTES)
    }
}

fn is_name(name: &Arc<str>) -> bool {
    name.len() <= MAX_NAME_BYTES
}

/// False also for what is no number.
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

/// What follows the header, if all of it is there as it was written.
fn checked_body(bytes: &[u8]) -> Result<&[u8], ProfileError> {
    let total = bytes.len();
    ensure!(total <= MAX_PROFILE_BYTES, TooLargeSnafu { bytes: total });
    let cut = CutSnafu {
        bytes: total,
        expected: HEADER_BYTES,
    };
    let Some((format, rest)) = bytes.split_first_chunk() else {
        return cut.fail();
    };
    let format = u32::from_le_bytes(*format);
    ensure!(format == FORMAT, OtherFormatSnafu { format });
    let Some((length, rest)) = rest.split_first_chunk() else {
        return cut.fail();
    };
    let Some((checksum, body)) = rest.split_first_chunk() else {
        return cut.fail();
    };
    let length = u32::from_le_bytes(*length) as usize;
    let expected = HEADER_BYTES.saturating_add(length);
    ensure!(
        total == expected,
        CutSnafu {
            bytes: total,
            expected
        }
    );
    let is_whole = xxh3_64(body) == u64::from_le_bytes(*checksum);
    ensure!(is_whole, DamagedSnafu);
    Ok(body)
}
