//! Responses that are sent a second time on the same connection.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use fakes::second_answer::{SecondAnswer, When};
use rand::rngs::SmallRng;
use runtime::{Runtime, Stream};
use simnet::{SimRuntime, SimTcp};
use tokio::io::AsyncWriteExt;

/// The second answer that is sent when the next request arrives on a connection.
#[derive(Default)]
pub(super) struct PendingSecondAnswer(Cell<Option<Vec<u8>>>);

impl PendingSecondAnswer {
    /// Takes the second answer, which is to be sent before the response to a request that has arrived.
    pub(super) fn take(&self) -> Option<Vec<u8>> {
        self.0.take()
    }

    /// Draws when and in which form `first` is sent a second time, and schedules that. It is not sent while
    /// `within_response` is set, that is, while a response on the connection is truncated.
    pub(super) fn schedule(
        &self,
        first: &[u8],
        socket: &Rc<SimTcp>,
        within_response: &Rc<Cell<bool>>,
        rng: &RefCell<SmallRng>,
    ) {
        let second = SecondAnswer::draw(&mut *rng.borrow_mut());
        let text = second.text(first);
        let delay = match second.when {
            When::NextRequest => return self.0.set(Some(text)),
            When::Later(delay) => delay,
        };
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
