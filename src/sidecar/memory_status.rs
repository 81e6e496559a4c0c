//! The memory of the process as it was last measured. Operators read it with `show-memory`.

use std::cell::Cell;
use std::fmt::{self, Display, Formatter};

use super::memory_pressure::Allowance;

/// The memory of the process as it was last measured, and what was done to keep it within its limit.
#[derive(Debug, Default)]
pub struct MemoryStatus {
    current: Cell<MemorySnapshot>,
}

/// The values of a [`MemoryStatus`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemorySnapshot {
    /// Resident memory in bytes; 0 if it was never measured.
    pub resident: usize,
    /// The largest resident memory that was measured, in bytes.
    pub peak: usize,
    /// The limit in bytes.
    pub limit: usize,
    /// What may be in use.
    pub allowance: Allowance,
    /// Number of periods in which too much memory was resident.
    pub shortages: u64,
    /// Number of idle connections that were closed to free memory.
    pub closed_connections: u64,
}

impl MemoryStatus {
    /// Records a measurement, and what may be in use after it.
    pub fn record(&self, resident: usize, limit: usize, allowance: Allowance) {
        self.update(|current| {
            current.resident = resident;
            current.peak = current.peak.max(resident);
            current.limit = limit;
            current.allowance = allowance;
        });
    }

    /// Counts a period in which too much memory is resident.
    pub fn record_shortage(&self) {
        self.update(|current| current.shortages += 1);
    }

    /// Counts idle connections that are closed to free memory.
    pub fn record_closed(&self, connections: usize) {
        self.update(|current| current.closed_connections += connections as u64);
    }

    /// Returns all values.
    pub fn snapshot(&self) -> MemorySnapshot {
        self.current.get()
    }

    fn update(&self, change: impl FnOnce(&mut MemorySnapshot)) {
        let mut current = self.current.get();
        change(&mut current);
        self.current.set(current);
    }
}

impl Display for MemorySnapshot {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Allowance { clients, servers, messages } = self.allowance;
        writeln!(f, "memory.resident_kb={}", self.resident >> 10)?;
        writeln!(f, "memory.peak_kb={}", self.peak >> 10)?;
        writeln!(f, "memory.limit_kb={}", self.limit >> 10)?;
        writeln!(f, "memory.allowed.client_connections={clients}")?;
        writeln!(f, "memory.allowed.server_connections={servers}")?;
        writeln!(f, "memory.allowed.requests_kb={}", messages.requests >> 10)?;
        writeln!(f, "memory.allowed.responses_kb={}", messages.responses >> 10)?;
        writeln!(f, "memory.shortages={}", self.shortages)?;
        writeln!(f, "memory.closed_connections={}", self.closed_connections)
    }
}
