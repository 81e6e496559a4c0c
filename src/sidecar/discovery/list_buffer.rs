//! Buffers for the responses of calls in flight, with a limit on their total size.

use std::cell::Cell;
use std::rc::Rc;

/// Memory used by the responses of all calls together, in bytes.
#[derive(Clone, Debug, Default)]
pub(super) struct ListMemory {
    used: Rc<Cell<usize>>,
}

impl ListMemory {
    /// Number of lists of maximum length that fit into memory at the same time.
    pub(super) const MAX_LISTS: usize = 2;

    /// Creates an empty buffer for a list of at most `max_bytes`.
    pub(super) fn buffer(&self, max_bytes: usize) -> ListBuffer {
        ListBuffer { text: Vec::new(), max_bytes, used: self.used.clone() }
    }
}

/// The reason why no more of a response can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BufferError {
    /// The response has at least this many bytes, which exceeds the limit for one list.
    TooLong(usize),
    /// The responses of all calls together would exceed the memory limit.
    NoMemory,
}

/// The part of a response that has been received so far.
#[derive(Debug)]
pub(super) struct ListBuffer {
    text: Vec<u8>,
    max_bytes: usize,
    used: Rc<Cell<usize>>,
}

impl ListBuffer {
    /// Appends received data.
    ///
    /// # Errors
    ///
    /// Returns an error if the list or the responses of all calls become too long.
    pub(super) fn append(&mut self, data: &[u8]) -> Result<(), BufferError> {
        let length = self.text.len() + data.len();
        if length > self.max_bytes {
            return Err(BufferError::TooLong(length));
        }
        let used = self.used.get() + data.len();
        if used > ListMemory::MAX_LISTS * self.max_bytes {
            return Err(BufferError::NoMemory);
        }
        self.used.set(used);
        self.text.extend_from_slice(data);
        Ok(())
    }

    /// Allocates memory for `bytes` in one step, but no more than the limits leave.
    pub(super) fn reserve(&mut self, bytes: usize) {
        let free = (ListMemory::MAX_LISTS * self.max_bytes).saturating_sub(self.used.get());
        self.text.reserve(bytes.min(self.max_bytes).min(free));
    }

    /// Returns the data received so far.
    pub(super) fn text(&self) -> &[u8] {
        &self.text
    }
}

impl Drop for ListBuffer {
    fn drop(&mut self) {
        self.used.set(self.used.get() - self.text.len());
    }
}

#[cfg(test)]
mod tests;
