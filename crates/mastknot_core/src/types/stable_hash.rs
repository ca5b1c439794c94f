use super::NodeName;

/// A number that is the same for the same names in every process.
pub fn stable_hash(names: &[&NodeName]) -> u32 {
    let texts: Vec<&str> = names.iter().map(|name| name.as_str()).collect();
    stable_hash_of(&texts)
}

/// A number that is the same for the same texts in every process (FNV-1a over their bytes).
pub fn stable_hash_of(texts: &[&str]) -> u32 {
    const FNV_OFFSET: u32 = 0x811c_9dc5;
    const FNV_PRIME: u32 = 0x0100_0193;
    let bytes = texts.iter().flat_map(|text| text.bytes());
    bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// The rank of a side among the sides of an entry, and of the entry among the entries of that side: a pair with a low
/// rank works together first.
pub fn pair_rank(entry: &NodeName, side: &NodeName) -> u32 {
    stable_hash(&[entry, side])
}
