use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::job::ShareWeights;

/// The kind of the resources that weigh halls; a hall without one has the usual weight of 100.
pub const HALL_SHARE_KIND: &str = "hall-share";

/// What a hall gets of room that is short, against other halls that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HallShare {
    /// 1 to [`ShareWeights::MOST`]; twice the weight is twice the share.
    pub weight: u32,
}

/// Why a value is no share of a hall.
#[derive(Debug, Snafu)]
pub enum HallShareError {
    /// A field is unknown, missing or of the wrong type.
    #[snafu(display("{source}"))]
    Fields {
        /// What is wrong.
        source: serde_json::Error,
    },
    /// The weight is out of its range.
    #[snafu(display("`weight` is {weight}, allowed is 1 to {}", ShareWeights::MAX))]
    Weight {
        /// The weight.
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

    /// Whether a hall may have this weight.
    pub fn is_weight(weight: u32) -> bool {
        (1..=ShareWeights::MAX).contains(&weight)
    }
}
