use super::owners::OwnerKey;

/// Need of an entry that competes for the next piece of capacity.
#[derive(Clone, Copy, Debug)]
pub(super) struct CapacityClaim<'a> {
    /// Entry that needs the capacity.
    pub(super) owner: &'a OwnerKey,
    /// Urgency of the need; 0 is the most urgent.
    pub(super) rank: u8,
    /// Virtual time of the entry's hall, or 0 if halls do not share. The lowest is served first.
    pub(super) virtual_time: u64,
    /// Amount of capacity that the entry has received in proportion to its needs. The lowest is
    /// served first.
    pub(super) turn: u64,
}

/// Returns the claim that gets the next piece of capacity: the most urgent one, then that of the
/// hall that has received the least of its share, then that of the entry that has waited longest.
pub(super) fn first_claim<'a>(
    claims: impl Iterator<Item = CapacityClaim<'a>>,
) -> Option<CapacityClaim<'a>> {
    claims.min_by_key(|claim| (claim.rank, claim.virtual_time, claim.turn))
}
