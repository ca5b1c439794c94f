use mastknot_core::job::{DrainedHalls, ShareWeights};

/// An update of what operators have written into the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorUpdate {
    /// Bytes of the newest configuration in the store.
    Config(Vec<u8>),
    /// All halls that are drained now. This update is sent before the first configuration.
    DrainedHalls(DrainedHalls),
    /// All weights of halls now. This update is not sent until operators have written weights.
    ShareWeights(ShareWeights),
    /// Number of weights that could not be read. The previous ones stay in force.
    BadShareWeights(u64),
}
