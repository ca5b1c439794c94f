use super::NodeName;

/// Returns a hash of the names that is the same in every process.
pub fn stable_hash(names: &[&NodeName]) -> u32 {
    let texts: Vec<&str> = names.iter().map(|name| name.as_str()).collect();
    stable_hash_of(&texts)
}

/// Returns a hash of the texts that is the same in every process (FNV-1a over their bytes).
pub fn stable_hash_of(texts: &[&str]) -> u32 {
    const FNV_OFFSET: u32 = 0x811c_9dc5;
    const FNV_PRIME: u32 = 0x0100_0193;
    let bytes = texts.iter().flat_map(|text| text.bytes());
    bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Spreads a number over all bits, with the same result in every process (the finalizer of
/// SplitMix64).
pub fn mix_bits(number: u64) -> u64 {
    const FIRST_FACTOR: u64 = 0xbf58_476d_1ce4_e5b9;
    const SECOND_FACTOR: u64 = 0x94d0_49bb_1331_11eb;
    let number = (number ^ (number >> 30)).wrapping_mul(FIRST_FACTOR);
    let number = (number ^ (number >> 27)).wrapping_mul(SECOND_FACTOR);
    number ^ (number >> 31)
}

/// Returns the rank of a pair of entry and side. It orders the sides of an entry and the entries of
/// a side: pairs of low rank work together first.
pub fn pair_rank(entry: &NodeName, side: &NodeName) -> u32 {
    stable_hash(&[entry, side])
}
