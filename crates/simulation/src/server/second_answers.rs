//! The second answers of a connection that are still to be sent.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use fakes::second_answer::{SecondAnswer, When};
use rand::rngs::SmallRng;
use runtime::{Runtime, Stream};
use simnet::{SimRuntime, SimTcp};
use tokio::io::AsyncWriteExt;

/// The second answer of a connection that waits for its next request.
#[derive(Default)]
pub(super) struct WaitingAnswer(Cell<Option<Vec<u8>>>);

impl WaitingAnswer {
    /// The answer that is to be sent ahead of the one to a request that has arrived.
    pub(super) fn take(&self) -> Option<Vec<u8>> {
        self.0.take()
    }

    /// Draws when and in which form `first` is sent once more. It is not sent `within_response`.
    pub(super) fn plan(
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
