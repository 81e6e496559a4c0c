//! Measuring and releasing memory with jemalloc as the allocator of the process. A test binary of its own, as other tests
//! in the same process would change the figures.

use process_memory::{Jemalloc, JemallocMemory};
use runtime::ProcessMemory;

#[global_allocator]
static ALLOCATOR: Jemalloc = Jemalloc;

/// The number of blocks that are allocated.
const BLOCKS: usize = 2_000;
/// The largest block in bytes.
const MAX_BLOCK_BYTES: usize = 64 << 10;
/// Of the blocks, every so many stay in use, so that no long stretch of memory becomes free.
const KEPT_OF: usize = 50;

/// Returns blocks of many lengths, all bytes of them in use.
fn allocate_blocks() -> Vec<Vec<u8>> {
    (0..BLOCKS).map(|n| vec![1; 500 + n * 7919 % MAX_BLOCK_BYTES]).collect()
}

/// Guards against memory that stays resident after it was freed, as blocks in use lie between the free ones.
#[test]
fn free_pages_between_blocks_in_use_are_returned() {
    let memory = JemallocMemory::new().expect("jemalloc is the allocator");
    let before = memory.resident_bytes().expect("measured");
    let mut blocks = allocate_blocks();
    let allocated: usize = blocks.iter().map(Vec::len).sum();
    let full = memory.resident_bytes().expect("measured");
    assert!(full - before >= allocated, "{before} {full}, {allocated} allocated");
    let mut number = 0;
    blocks.retain(|_| {
        number += 1;
        number % KEPT_OF == 0
    });
    memory.release_free_pages();
    let after = memory.resident_bytes().expect("measured");
    let freed = allocated - blocks.iter().map(Vec::len).sum::<usize>();
    let returned = full - after;
    assert!(returned >= freed / 10 * 9, "{before} {full} {after}, {returned} returned of {freed}");
}
