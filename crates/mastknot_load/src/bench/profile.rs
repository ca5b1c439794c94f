use std::str::FromStr;

use mastknot_core::config::Profile;
use mastknot_virtual::Delays;

/// A user's places and weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BenchProfile {
    /// Three halls, response time first.
    Kalahari,
    /// Four halls, wasted messages first.
    CoOp,
}

impl BenchProfile {
    /// Its name.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Kalahari => "kalahari",
            Self::CoOp => "co-op",
        }
    }

    /// Its halls.
    pub const fn halls(self) -> usize {
        match self {
            Self::Kalahari => 3,
            Self::CoOp => 4,
        }
    }

    /// Its delays.
    pub const fn delays(self) -> Delays {
        match self {
            Self::Kalahari => Delays::KALAHARI,
            Self::CoOp => Delays::CO_OP,
        }
    }

    /// Its weights of the policy.
    pub const fn policy(self) -> Profile {
        match self {
            Self::Kalahari => Profile::kalahari(),
            Self::CoOp => Profile::co_op(),
        }
    }
}

impl FromStr for BenchProfile {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "kalahari" => Ok(Self::Kalahari),
            "co-op" => Ok(Self::CoOp),
            _ => Err(format!(
                "{text:?} is no profile; the profiles are kalahari, co-op"
            )),
        }
    }
}
