use std::str::FromStr;

/// A baseline that queues tasks at the targets, or the ideal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// Any side.
    Random,
    /// The side with the least load as last reported, some time ago.
    LeastReported,
    /// The better of two sides that are asked first.
    TwoProbes,
    /// One central queue that sees all slots at once.
    Omniscient,
}

/// One policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arm {
    /// Slot credits with late binding: the real cores.
    Credits,
    /// A baseline.
    Pushed(Baseline),
}

/// All arms with their names.
const ARMS: [(&str, Arm); 5] = [
    ("credits", Arm::Credits),
    ("random", Arm::Pushed(Baseline::Random)),
    ("least-reported", Arm::Pushed(Baseline::LeastReported)),
    ("two-probes", Arm::Pushed(Baseline::TwoProbes)),
    ("omniscient", Arm::Pushed(Baseline::Omniscient)),
];

impl Arm {
    /// Its name.
    pub fn name(self) -> &'static str {
        let found = ARMS.iter().find(|(_, arm)| *arm == self);
        found.map_or("", |(name, _)| name)
    }
}

impl FromStr for Arm {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = ARMS.iter().find(|(name, _)| *name == text);
        found.map(|(_, arm)| *arm).ok_or_else(|| {
            let names: Vec<&str> = ARMS.iter().map(|(name, _)| *name).collect();
            format!(
                "{text:?} is no policy; the policies are {}",
                names.join(", ")
            )
        })
    }
}
