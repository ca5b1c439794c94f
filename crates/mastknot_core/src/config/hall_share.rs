use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::job::ShareWeights;

/// Kind of the resources that set the weights of halls. A hall without one has the default weight
/// of 100.
pub const HALL_SHARE_KIND: &str = "hall-share";

/// Weight of a hall when scarce capacity is shared between halls that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HallShare {
    /// Weight from 1 to [`ShareWeights::MAX`]; twice the weight gives twice the share.
    pub weight: u32,
}

/// Reason why a value is not a valid share of a hall.
#[derive(Debug, Snafu)]
pub enum HallShareError {
    /// A field is unknown, missing or of the wrong type.
    #[snafu(display("{source}"))]
    Fields {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// The weight is out of range.
    #[snafu(display("`weight` is {weight}, allowed is 1 to {}", ShareWeights::MAX))]
    Weight {
        /// Weight that was given.
        weight: u32,
    },
}

impl HallShare {
    /// Reads a share from JSON.
    pub fn read(json: &[u8]) -> Result<Self, HallShareError> {
        let share: Self = serde_json::from_slice(json).context(FieldsSnafu)?;
        let weight = share.weight;
        ensure!(Self::is_weight(weight), WeightSnafu { weight });
        Ok(share)
    }

    /// Returns whether a hall may have this weight.
    pub fn is_weight(weight: u32) -> bool {
        (1..=ShareWeights::MAX).contains(&weight)
    }
}
