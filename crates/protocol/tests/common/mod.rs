//! Helpers that split a byte string in many ways, and a deterministic generator of random numbers.

/// A linear congruential generator. The field is the seed; equal seeds give equal sequences.
pub struct RandomNumbers(pub u64);

impl RandomNumbers {
    /// Returns the next number, less than `bound`.
    pub fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % bound.max(1)
    }
}

/// Returns 102 splits of `bytes` into pieces: one piece, single bytes, and 100 random splits.
pub fn byte_splits(bytes: &[u8]) -> Vec<Vec<Vec<u8>>> {
    let mut splits = vec![vec![bytes.to_vec()], bytes.chunks(1).map(<[u8]>::to_vec).collect()];
    for seed in 0..100 {
        let mut numbers = RandomNumbers(seed);
        let mut pieces = Vec::new();
        let mut remaining = bytes;
        while !remaining.is_empty() {
            let (piece, after) = remaining.split_at(1 + numbers.below(remaining.len().min(40)));
            pieces.push(piece.to_vec());
            remaining = after;
        }
        splits.push(pieces);
    }
    splits
}
