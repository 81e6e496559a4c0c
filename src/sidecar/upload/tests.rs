//! Tests of uploads without sockets.

use super::*;
use crate::sidecar::deadline::{ClientTimeout, RequestSource};
use http_body_util::{BodyExt, Full};
use runtime::TokioRuntime;

/// The time for which the client waits.
const TIMEOUT: Duration = Duration::from_secs(1);

/// A client that may have written its last byte at this time.
#[derive(Default)]
struct Client(Option<Instant>);

impl RequestSource for Client {
    fn earliest_end(&self) -> Option<Instant> {
        self.0
    }

    fn latest_end(&self) -> Option<Instant> {
        self.0
    }
}

fn upload(prefix: &'static str, rest: &'static str) -> Rc<Upload> {
    upload_from(Rc::default(), prefix, rest)
}

fn upload_from(client: Rc<Client>, prefix: &'static str, rest: &'static str) -> Rc<Upload> {
    let rest = Full::new(Bytes::from(rest)).map_err(|never| match never {});
    let timeout = ClientTimeout { stated: TIMEOUT, certain: TIMEOUT };
    let deadline = RequestDeadline::new(timeout, client);
    Upload::new::<TokioRuntime>(Bytes::from(prefix), Box::pin(rest), None, deadline)
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
        assert!(known.outcome_due().is_none());
        let next = attempt.poll_next(&mut cx);
        assert!(matches!(next, Poll::Ready(Some(Ok(b))) if b == piece));
    }
    // The body is not polled after its last byte.
    let budget = known.deadline.budget();
    assert_eq!(known.outcome_due(), known.completed_at().map(|end| end + budget));
    let written_at = Instant::now();
    let waiting = upload_from(Rc::new(Client(Some(written_at))), "kept", " and more");
    let due = (waiting.completed_at(), waiting.outcome_due());
    assert_eq!(due, (None, Some(written_at + budget)));
}

/// A server that takes a body too slowly has no more time than one that hangs, beside what its bytes may take.
#[test]
fn server_has_the_budget_of_the_request_to_take_the_next_bytes() {
    let upload = upload("kept", " and more");
    let mut attempt = UploadAttempt::new(upload.clone());
    let mut cx = Context::from_waker(std::task::Waker::noop());
    assert!(attempt.poll_next(&mut cx).is_ready());
    assert_eq!(upload.server_due(), None, "nothing was passed on yet");
    let budget = upload.deadline.budget();
    let since = Instant::now();
    upload.server_wait_since.set(Some(since));
    assert_eq!(upload.server_due(), Some(since + budget));
    upload.server_waited.set(budget * 2 / 3);
    assert_eq!(upload.server_due(), Some(since + budget - budget * 2 / 3));
}

#[test]
fn drained_upload_sends_nothing_more() {
    let upload = upload("kept", " and more");
    let mut attempt = UploadAttempt::new(upload.clone());
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(upload.drain()).expect("the request body is complete");
    assert!(read_all(&mut attempt).is_err());
}
