//! The memory of a process whose allocator is jemalloc: how much of it is resident, and the return of free pages.
//!
//! jemalloc keeps blocks of different sizes in different pages, so pages become free as blocks are returned, and free
//! pages can be returned to the system wherever they are. The allocator of the C library keeps all pages below the last
//! block in use.
#![forbid(unsafe_code)]

mod statm;

use std::time::Duration;

use runtime::ProcessMemory;
use thiserror::Error;
use tikv_jemalloc_ctl::{Access, AsName};
/// The allocator, to be declared as the global allocator of a program.
pub use tikv_jemallocator::Jemalloc;

use statm::Statm;

/// The time for which jemalloc keeps free pages for new blocks before it returns them to the system.
const FREE_PAGE_TIME: Duration = Duration::from_secs(1);
/// The size in bytes of the largest blocks that a thread keeps for itself after they are freed. A thread keeps up to 20
/// blocks of each larger size, which nothing returns while the thread needs no such block.
const MAX_CACHED_BLOCK_BYTES: usize = 8 << 10;

/// The number of the arena from which the current thread allocates.
const THREAD_ARENA: &[u8] = b"thread.arena\0";
/// The size of the largest blocks that the current thread caches, in bytes.
const THREAD_CACHE_MAX: &[u8] = b"thread.tcache.max\0";

/// Error returned when jemalloc cannot be configured.
#[derive(Debug, Error)]
#[error("failed to configure the allocator: {0}")]
pub struct AllocatorError(String);

/// The memory of a process that allocates with [`Jemalloc`] from a single thread.
pub struct JemallocMemory {
    statm: Statm,
    dirty_decay: DecayKey,
}

impl JemallocMemory {
    /// Configures the allocator for the current thread, which has to be the one that allocates.
    ///
    /// # Errors
    ///
    /// When jemalloc rejects a setting.
    pub fn new() -> Result<JemallocMemory, AllocatorError> {
        THREAD_CACHE_MAX.name().write(MAX_CACHED_BLOCK_BYTES).map_err(allocator_error)?;
        let arena: u32 = THREAD_ARENA.name().read().map_err(allocator_error)?;
        // Free pages are returned at the end of their time, and not only offered to the system, which would leave them
        // resident.
        DecayKey::new(arena, "muzzy").write(Duration::ZERO)?;
        let dirty_decay = DecayKey::new(arena, "dirty");
        dirty_decay.write(FREE_PAGE_TIME)?;
        Ok(JemallocMemory { statm: Statm::new(), dirty_decay })
    }
}

impl ProcessMemory for JemallocMemory {
    fn resident_bytes(&self) -> Option<usize> {
        self.statm.resident_bytes().ok()
    }

    fn release_free_pages(&self) {
        // The key was written before, so neither write fails.
        let _ = self.dirty_decay.write(Duration::ZERO);
        let _ = self.dirty_decay.write(FREE_PAGE_TIME);
    }
}

/// The name of the setting that tells for how long an arena keeps free pages. Writing zero returns all of them at once.
struct DecayKey(String);

impl DecayKey {
    fn new(arena: u32, kind: &str) -> DecayKey {
        DecayKey(format!("arena.{arena}.{kind}_decay_ms\0"))
    }

    fn write(&self, time: Duration) -> Result<(), AllocatorError> {
        let milliseconds = isize::try_from(time.as_millis()).unwrap_or(isize::MAX);
        self.0.as_bytes().name().write(milliseconds).map_err(allocator_error)
    }
}

fn allocator_error(error: tikv_jemalloc_ctl::Error) -> AllocatorError {
    AllocatorError(error.to_string())
}
