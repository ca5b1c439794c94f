use std::str::FromStr;

/// Policy that the credits are compared with: one that queues tasks at the targets, or the ideal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// Sends each task to a random side.
    Random,
    /// Sends each task to the side that last reported the least load. Reports are periodic, so they
    /// may be outdated.
    LeastReported,
    /// Asks two random sides for their load and sends the task to the less loaded one.
    TwoProbes,
    /// Keeps one central queue that knows the state of all slots without delay.
    Omniscient,
}

/// Policy of one arm of a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arm {
    /// Slot credits with late binding, run by the real entry and side cores.
    Credits,
    /// Baseline that pushes tasks, or the omniscient queue.
    Pushed(Baseline),
}

/// All arms with the names that the command line uses.
const ARMS: [(&str, Arm); 5] = [
    ("credits", Arm::Credits),
    ("random", Arm::Pushed(Baseline::Random)),
    ("least-reported", Arm::Pushed(Baseline::LeastReported)),
    ("two-probes", Arm::Pushed(Baseline::TwoProbes)),
    ("omniscient", Arm::Pushed(Baseline::Omniscient)),
];

impl Arm {
    /// Returns the name that the command line and reports use.
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
                "{text:?} is not a policy; the policies are {}",
                names.join(", ")
            )
        })
    }
}
