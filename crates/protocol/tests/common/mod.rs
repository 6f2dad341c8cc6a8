//! Splitting bytes in many ways.

/// A small generator of numbers, the same ones for the same seed.
pub struct Numbers(pub u64);

impl Numbers {
    pub fn below(&mut self, most: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % most.max(1)
    }
}

/// The bytes whole, one by one, and in a hundred random splits.
pub fn splits(bytes: &[u8]) -> Vec<Vec<Vec<u8>>> {
    let mut all = vec![vec![bytes.to_vec()], bytes.chunks(1).map(<[u8]>::to_vec).collect()];
    for seed in 0..100 {
        let mut numbers = Numbers(seed);
        let (mut pieces, mut rest) = (Vec::new(), bytes);
        while !rest.is_empty() {
            let (piece, after) = rest.split_at(1 + numbers.below(rest.len().min(40)));
            pieces.push(piece.to_vec());
            rest = after;
        }
        all.push(pieces);
    }
    all
}
