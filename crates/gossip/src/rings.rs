//! Who talks to whom: some rings through all numbers of the tier, each in an order drawn by hashing. A member's
//! neighbours are those beside it on each. Everyone works out the same rings.

/// Rings. Two neighbours on each.
const RINGS: u32 = 4;
/// In a tier of so many or fewer everyone is beside everyone: counts that are taken from links are exact then, and
/// with few members rings say little.
const SMALL: u32 = 17;

/// The neighbours of every member of a tier of `size`, by their numbers, in order and without doubles.
pub fn neighbours(size: u32) -> Vec<Vec<u32>> {
    if size <= SMALL {
        return (0..size).map(|me| (0..size).filter(|n| *n != me).collect()).collect();
    }
    let mut all: Vec<Vec<u32>> = vec![Vec::new(); size as usize];
    for ring in 0..RINGS {
        let mut order: Vec<u32> = (0..size).collect();
        order.sort_unstable_by_key(|n| (mixed(u64::from(ring) << 32 | u64::from(*n)), *n));
        for (n, next) in order.iter().zip(order.iter().cycle().skip(1)) {
            all[*n as usize].push(*next);
            all[*next as usize].push(*n);
        }
    }
    for beside in &mut all {
        beside.sort_unstable();
        beside.dedup();
    }
    all
}

/// Whether `me` is the end of the link to `peer` that changes its flow; the other is the one that asks. Drawn by
/// hashing, so that nobody asks on all of its links.
pub fn changes(me: u32, peer: u32) -> bool {
    let (low, high) = (me.min(peer), me.max(peer));
    (mixed(u64::from(low) << 32 | u64::from(high)) & 1 == 0) == (me == low)
}

/// Spreads its bits evenly (the finalizer of SplitMix64: Steele, Lea, Flood, 2014).
fn mixed(n: u64) -> u64 {
    let n = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let n = (n ^ n >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ n >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ n >> 31
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeSet;

    #[test]
    fn neighbours_are_mutual_and_reach_all_soon() {
        for size in [1, 2, 9, 17, 18, 24, 300, 1800] {
            let all = neighbours(size);
            for (n, beside) in all.iter().enumerate() {
                assert!(beside.iter().all(|b| all[*b as usize].contains(&(n as u32))), "{size}");
            }
            let (mut met, mut edge, mut steps) = (BTreeSet::from([0]), vec![0], 0);
            while !edge.is_empty() {
                let next: BTreeSet<u32> =
                    edge.iter().flat_map(|n| all[*n as usize].clone()).collect();
                edge = next.into_iter().filter(|n| met.insert(*n)).collect();
                steps += 1;
            }
            assert_eq!(met.len(), size as usize);
            assert!(steps <= 7, "{size}: {steps}");
        }
    }
}
