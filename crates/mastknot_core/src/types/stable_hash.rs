use super::NodeName;

/// A number that is the same for the same names in every process (FNV-1a over their bytes).
pub fn stable_hash(names: &[&NodeName]) -> u32 {
    const FNV_OFFSET: u32 = 0x811c_9dc5;
    const FNV_PRIME: u32 = 0x0100_0193;
    let bytes = names.iter().flat_map(|name| name.as_str().bytes());
    bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
