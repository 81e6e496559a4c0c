//! Tests of uploads without sockets.

use super::*;
use http_body_util::{BodyExt, Full};
use runtime::TokioRuntime;

fn upload(prefix: &'static str, rest: &'static str) -> Rc<Upload> {
    let rest = Full::new(Bytes::from(rest)).map_err(|never| match never {});
    let left = Duration::from_secs(1);
    Upload::new::<TokioRuntime>(Bytes::from(prefix), Box::pin(rest), None, left, Rc::default())
}

fn read_all(attempt: &mut UploadAttempt) -> Result<Vec<u8>, BodyError> {
    let mut cx = Context::from_waker(std::task::Waker::noop());
    let mut all = Vec::new();
    loop {
        match attempt.poll_next(&mut cx) {
            Poll::Ready(Some(piece)) => all.extend_from_slice(&piece?),
            Poll::Ready(None) => return Ok(all),
            Poll::Pending => panic!("the whole body is available"),
        }
    }
}

#[test]
fn another_attempt_gets_the_whole_upload_until_streaming_starts() {
    let upload = upload("kept", " and more");
    let mut cx = Context::from_waker(std::task::Waker::noop());
    let mut first = UploadAttempt::new(upload.clone());
    assert!(matches!(first.poll_next(&mut cx), Poll::Ready(Some(Ok(b))) if b == "kept"));
    assert!(upload.is_replayable() && upload.completed_at().is_none());
    let mut second = UploadAttempt::new(upload.clone());
    assert_eq!(read_all(&mut second).expect("complete"), b"kept and more");
    assert!(!upload.is_replayable() && upload.completed_at().is_some());
    assert!(read_all(&mut first).is_err(), "a body that was sent cannot be replayed");
    assert!(
        read_all(&mut UploadAttempt::new(upload)).is_err(),
        "a third attempt cannot replay it either"
    );
}

#[test]
fn deadline_runs_from_last_byte_even_if_not_read() {
    let known = upload("kept", " and more");
    let mut attempt = UploadAttempt::new(known.clone());
    let mut cx = Context::from_waker(std::task::Waker::noop());
    for piece in ["kept", " and more"] {
        assert!(known.deadline().is_none());
        let next = attempt.poll_next(&mut cx);
        assert!(matches!(next, Poll::Ready(Some(Ok(b))) if b == piece));
    }
    // The body is not polled after its last byte.
    assert_eq!(known.deadline(), known.completed_at().map(|end| end + known.response_timeout));
    let waiting = upload("kept", " and more");
    let received = Instant::now();
    waiting.received_at.set(Some(received));
    let deadline = Some(received + waiting.response_timeout);
    assert_eq!((waiting.completed_at(), waiting.deadline()), (None, deadline));
}

#[test]
fn drained_upload_sends_nothing_more() {
    let upload = upload("kept", " and more");
    let mut attempt = UploadAttempt::new(upload.clone());
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(upload.drain()).expect("the request body is complete");
    assert!(read_all(&mut attempt).is_err());
}
