use snafu::Snafu;

/// Reason why bytes are not a learned profile, or why a profile cannot be encoded.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ProfileError {
    /// There are more bytes than a profile may have.
    #[snafu(display("the profile has {bytes} bytes, which is more than allowed"))]
    TooLarge {
        /// Number of bytes.
        bytes: usize,
    },
    /// Bytes are missing, or there are bytes after the end of the profile.
    #[snafu(display("expected a profile of {expected} bytes, found {bytes}"))]
    WrongLength {
        /// Number of bytes that were found.
        bytes: usize,
        /// Number of bytes that were expected; at least the length of the header.
        expected: usize,
    },
    /// The format number belongs to another version or another program.
    #[snafu(display("unknown profile format {format:08x}"))]
    OtherFormat {
        /// Format number that was found.
        format: u32,
    },
    /// The checksum does not match.
    #[snafu(display("the checksum of the profile does not match"))]
    Damaged,
    /// The bytes cannot be decoded as a profile.
    #[snafu(display("the bytes cannot be decoded as a profile"))]
    Malformed {
        /// Error of the decoder.
        source: bincode::error::DecodeError,
    },
    /// The profile holds values that no process can have learned: more priors than are kept, or
    /// numbers out of range.
    #[snafu(display("the profile holds values out of range"))]
    OutOfRange,
    /// The profile cannot be encoded.
    #[snafu(display("the profile cannot be encoded"))]
    NotEncodable {
        /// Error of the encoder.
        source: bincode::error::EncodeError,
    },
}

impl ProfileError {
    /// Returns a short name of the cause, for counters.
    pub fn cause(&self) -> &'static str {
        match self {
            Self::TooLarge { .. } => "too_large",
            Self::WrongLength { .. } => "cut",
            Self::OtherFormat { .. } => "other_format",
            Self::Damaged => "damaged",
            Self::Malformed { .. } => "malformed",
            Self::OutOfRange => "unsound",
            Self::NotEncodable { .. } => "unwritable",
        }
    }
}
