//! A digest of the published records, by which daemons notice that one of them has missed something.

use super::Inner;

const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
const MIX: u64 = 0xff51_afd7_ed55_8ccd;

impl Inner {
    /// The digest of the records that exist, the same in all daemons that have the same ones. Values
    /// follow from positions.
    pub(super) fn digest(&self) -> u64 {
        let existing = self.records.values().map(|cached| &cached.record);
        let existing = existing.filter(|record| record.value.is_some());
        // The order of records differs between daemons.
        existing.fold(0, |digest, record| {
            let numbers = [record.position.era.0, record.position.revision.0];
            let numbers = numbers.into_iter().flat_map(u64::to_le_bytes);
            let bytes = record.key.bytes().chain(numbers);
            let hash = bytes
                .fold(FNV_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
            digest ^ (hash ^ (hash >> 33)).wrapping_mul(MIX)
        })
    }
}
