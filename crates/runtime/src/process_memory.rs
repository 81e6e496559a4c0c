//! The memory of the process as the system sees it.

/// The memory of the process as the system sees it, which may kill a process that uses too much.
pub trait ProcessMemory {
    /// Returns the number of bytes of the process that are in main memory, or `None` if it cannot be determined.
    fn resident_bytes(&self) -> Option<usize>;
    /// Returns the pages to the system in which the allocator keeps nothing.
    fn release_free_pages(&self);
}

/// The memory of a process that cannot be determined, such as a simulated one.
pub struct UnknownMemory;

impl ProcessMemory for UnknownMemory {
    fn resident_bytes(&self) -> Option<usize> {
        None
    }

    fn release_free_pages(&self) {}
}
