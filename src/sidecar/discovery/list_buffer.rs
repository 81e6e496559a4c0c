//! Buffers for the responses of calls in flight, which together take a bounded amount of memory.

use std::cell::Cell;
use std::rc::Rc;

/// How much memory the responses of all calls take together, in bytes.
#[derive(Clone, Debug, Default)]
pub(super) struct ListMemory {
    used: Rc<Cell<usize>>,
}

impl ListMemory {
    /// How many lists of the greatest length fit in at the same time.
    pub(super) const MAX_LISTS: usize = 2;

    /// An empty buffer for a list of at most `max_bytes`.
    pub(super) fn buffer(&self, max_bytes: usize) -> ListBuffer {
        ListBuffer { text: Vec::new(), max_bytes, used: self.used.clone() }
    }
}

/// Why a response cannot be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BufferError {
    /// It has at least so many bytes, which are too many for one list.
    TooLong(usize),
    /// Together with the responses of other calls it would take too much memory.
    NoMemory,
}

/// The part of a response that has arrived.
#[derive(Debug)]
pub(super) struct ListBuffer {
    text: Vec<u8>,
    max_bytes: usize,
    used: Rc<Cell<usize>>,
}

impl ListBuffer {
    /// Appends what has arrived.
    ///
    /// # Errors
    ///
    /// When there is no room for it.
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

    /// Allocates memory for `bytes` at once, if a list may have so many.
    pub(super) fn reserve(&mut self, bytes: usize) {
        let free = (ListMemory::MAX_LISTS * self.max_bytes).saturating_sub(self.used.get());
        self.text.reserve(bytes.min(self.max_bytes).min(free));
    }

    /// What has arrived.
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
