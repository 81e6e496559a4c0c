//! The topology that determines which members exchange messages. All member numbers are arranged in several rings, each
//! in its own order given by hashing; a member's neighbors are the adjacent ones on each ring. Every member computes
//! the same rings.

/// Number of rings; a member has two neighbors on each.
const RING_COUNT: u32 = 4;
/// Up to this cluster size every member is a neighbor of every other. Member counts derived from the links are then
/// exact, whereas rings of few members give little information about the count.
const FULL_MESH_SIZE: u32 = 17;

/// Returns the neighbors of every member of a cluster of `size`, by member number, sorted and without duplicates.
pub fn neighbors(size: u32) -> Vec<Vec<u32>> {
    if size <= FULL_MESH_SIZE {
        return (0..size).map(|id| (0..size).filter(|n| *n != id).collect()).collect();
    }
    let mut all: Vec<Vec<u32>> = vec![Vec::new(); size as usize];
    for ring in 0..RING_COUNT {
        let mut order: Vec<u32> = (0..size).collect();
        order.sort_unstable_by_key(|n| (mix(u64::from(ring) << 32 | u64::from(*n)), *n));
        for (n, next) in order.iter().zip(order.iter().cycle().skip(1)) {
            all[*n as usize].push(*next);
            all[*next as usize].push(*n);
        }
    }
    for neighbors in &mut all {
        neighbors.sort_unstable();
        neighbors.dedup();
    }
    all
}

/// Returns whether `local` is the end of the link to `peer` that updates its flow; the other end initiates the
/// exchanges. This is decided by a hash, so that no member initiates on all of its links.
pub fn owns_flow(local: u32, peer: u32) -> bool {
    let (low, high) = (local.min(peer), local.max(peer));
    (mix(u64::from(low) << 32 | u64::from(high)) & 1 == 0) == (local == low)
}

/// Spreads the bits of `n` evenly (the finalizer of SplitMix64: Steele, Lea, Flood, 2014).
fn mix(n: u64) -> u64 {
    let n = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let n = (n ^ n >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ n >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ n >> 31
}

#[cfg(test)]
mod tests;
