//! Tests of the memory limits for the responses of several calls.

use super::*;

#[test]
fn list_longer_than_the_limit_is_too_long() {
    let mut buffer = ListMemory::default().buffer(10);
    assert_eq!(buffer.append(b"0123456789"), Ok(()));
    assert_eq!(buffer.append(b"x"), Err(BufferError::TooLong(11)));
    assert_eq!(buffer.text(), b"0123456789");
}

#[test]
fn responses_share_memory_and_return_it() {
    let memory = ListMemory::default();
    let mut buffers: Vec<_> = (0..3).map(|_| memory.buffer(10)).collect();
    assert_eq!(buffers[0].append(&[0; 8]), Ok(()));
    assert_eq!(buffers[1].append(&[0; 8]), Ok(()));
    assert_eq!(buffers[2].append(&[0; 5]), Err(BufferError::NoMemory));
    assert_eq!(buffers[2].append(&[0; 4]), Ok(()));
    buffers.remove(0);
    assert_eq!(buffers[1].append(&[0; 6]), Ok(()));
}

/// A response with a huge `Content-Length` must not make the sidecar allocate that much memory.
#[test]
fn announced_length_reserves_no_more_than_there_is() {
    let memory = ListMemory::default();
    let mut buffer = memory.buffer(1000);
    buffer.reserve(usize::MAX);
    assert!(buffer.text.capacity() < 1100, "{}", buffer.text.capacity());
}
