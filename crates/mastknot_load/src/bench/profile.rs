use std::str::FromStr;

use mastknot_core::config::Profile;
use mastknot_virtual::Delays;

/// Halls, network delays and policy weights of one organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BenchProfile {
    /// Three halls; the weights favour short response times.
    Kalahari,
    /// Four halls; the weights favour few wasted messages.
    CoOp,
}

impl BenchProfile {
    /// Returns the name that the command line uses.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Kalahari => "kalahari",
            Self::CoOp => "co-op",
        }
    }

    /// Returns the number of halls.
    pub const fn halls(self) -> usize {
        match self {
            Self::Kalahari => 3,
            Self::CoOp => 4,
        }
    }

    /// Returns the network delays within and between halls and to callers.
    pub const fn delays(self) -> Delays {
        match self {
            Self::Kalahari => Delays::KALAHARI,
            Self::CoOp => Delays::CO_OP,
        }
    }

    /// Returns the weights of the policy.
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
                "{text:?} is not a profile; the profiles are kalahari, co-op"
            )),
        }
    }
}
