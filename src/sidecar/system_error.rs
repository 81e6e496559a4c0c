//! Classification of system errors.

use std::io;

use rustix::io::Errno;

/// Whether a call failed because of a resource shortage that closing a connection relieves: descriptors of the process
/// or the system, buffers, or memory. Any other error of accept(2) or connect(2) concerns only one connection.
pub(super) fn is_shortage(error: &io::Error) -> bool {
    let code = error.raw_os_error().map(Errno::from_raw_os_error);
    matches!(code, Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM))
}
