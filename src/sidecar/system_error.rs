//! What errors of the system mean.

use std::io;

use rustix::io::Errno;

/// Whether a call failed for want of something that closing a connection gives back: descriptors of the
/// process or the system, buffers or memory. Any other error of accept(2) or connect(2) concerns one
/// connection alone.
pub(super) fn is_shortage(error: &io::Error) -> bool {
    let code = error.raw_os_error().map(Errno::from_raw_os_error);
    matches!(code, Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM))
}
