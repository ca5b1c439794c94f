use std::fmt;
use std::str::FromStr;

use bincode::{Decode, Encode};
use snafu::Snafu;

/// Number of digits of a job identifier.
const DIGITS: usize = 16;

/// Identifier that a caller gives a job, written as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct JobId(pub u64);

/// Error for a text that is not a job identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a job identifier has {DIGITS} lower-case hexadecimal digits"))]
pub struct JobIdError;

impl FromStr for JobId {
    type Err = JobIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != DIGITS || !text.bytes().all(is_digit) {
            return Err(JobIdError);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| JobIdError)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
