//! Answers that a server sends a second time, some time later.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use runtime::{Runtime, Stream};
use simnet::{SimRuntime, SimTcp};
use tokio::io::AsyncWriteExt;

/// How long after the first a second answer is sent, in milliseconds: short, longer, long.
const DELAYS_MS: [std::ops::Range<u64>; 3] = [1..15, 15..70, 100..400];
/// How many bytes a second answer that is cut lacks.
const MISSING_BYTES: usize = 5;

/// What a second answer looks like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    Same,
    /// With a header more, and so of another length.
    OtherHead,
    BehindInterim,
    Cut,
}

const FORMS: [Form; 4] = [Form::Same, Form::OtherHead, Form::BehindInterim, Form::Cut];

impl Form {
    fn text(self, answer: &[u8]) -> Vec<u8> {
        let end_of_status = answer.windows(2).position(|pair| pair == b"\r\n").unwrap_or_default();
        match self {
            Form::Same => answer.to_vec(),
            Form::OtherHead => {
                let (status, rest) = answer.split_at(end_of_status);
                [status, b"\r\nX-Copy: 1", rest].concat()
            }
            Form::BehindInterim => [b"HTTP/1.1 103 Early Hints\r\n\r\n", answer].concat(),
            Form::Cut => answer[..answer.len().saturating_sub(MISSING_BYTES)].to_vec(),
        }
    }
}

/// The second answer of a connection that waits for its next request.
#[derive(Default)]
pub(super) struct WaitingAnswer(Cell<Option<Vec<u8>>>);

impl WaitingAnswer {
    /// The answer that is to be sent ahead of the one to a request that has arrived.
    pub(super) fn take(&self) -> Option<Vec<u8>> {
        self.0.take()
    }

    /// Draws when and in which form `answer` is sent once more. It is not sent `within_response`.
    pub(super) fn plan(
        &self,
        answer: &[u8],
        socket: &Rc<SimTcp>,
        within_response: &Rc<Cell<bool>>,
        rng: &RefCell<SmallRng>,
    ) {
        let mut rng = rng.borrow_mut();
        let text = FORMS.choose(&mut *rng).unwrap_or(&Form::Same).text(answer);
        let point = rng.random_range(0..=DELAYS_MS.len());
        let Some(delays) = DELAYS_MS.get(point) else {
            return self.0.set(Some(text));
        };
        let delay = Duration::from_millis(rng.random_range(delays.clone()));
        let within_response = within_response.clone();
        let mut stream = Stream::new(socket.clone(), Rc::new(()));
        SimRuntime::spawn(async move {
            SimRuntime::sleep(delay).await;
            if !within_response.get() {
                let _ = stream.write_all(&text).await;
            }
        });
    }
}
