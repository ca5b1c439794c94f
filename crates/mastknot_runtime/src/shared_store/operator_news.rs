use mastknot_core::job::DrainedHalls;

/// Something that operators have written into the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorNews {
    /// The newest configuration, as the store has it.
    Config(Vec<u8>),
    /// The halls that are drained now. They are sent before the first configuration.
    DrainedHalls(DrainedHalls),
}
