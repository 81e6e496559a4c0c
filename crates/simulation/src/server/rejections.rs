//! Rejections that prove nothing: cut, silent, contradictory, or sent twice.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use runtime::{Runtime, Stream};
use simnet::{SimRuntime, SimTcp};
use tokio::io::AsyncWriteExt;

/// How long after a rejection its second copy is sent, in milliseconds.
const SECOND_COPY_MS: std::ops::Range<u64> = 2..15;

/// What is wrong with a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BrokenRejection {
    /// Its body is shorter than announced, and its connection is closed.
    CutAndClosed,
    /// The same, and its connection is reset.
    CutAndReset,
    /// The same, and its connection stays open.
    CutAndSilent,
    /// It ends within a chunk, and its connection is closed.
    CutInChunk,
    /// Its head also says that the request may have been processed.
    Contradictory,
    /// It is whole, and sent once more some milliseconds later.
    Twice,
}

/// What becomes of a connection behind a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterRejection {
    NextRequest,
    Close,
    Reset,
    Hang,
}

impl BrokenRejection {
    const ALL: [BrokenRejection; 6] = [
        BrokenRejection::CutAndClosed,
        BrokenRejection::CutAndReset,
        BrokenRejection::CutAndSilent,
        BrokenRejection::CutInChunk,
        BrokenRejection::Contradictory,
        BrokenRejection::Twice,
    ];

    pub(super) fn draw(rng: &mut SmallRng) -> BrokenRejection {
        *BrokenRejection::ALL.choose(rng).unwrap_or(&BrokenRejection::CutAndClosed)
    }

    /// Whether the request is executed all the same.
    pub(super) fn is_executed(self) -> bool {
        self != BrokenRejection::Twice
    }

    fn text(self) -> String {
        let rest = match self {
            BrokenRejection::CutAndClosed
            | BrokenRejection::CutAndReset
            | BrokenRejection::CutAndSilent => "Content-Length: 20\r\n\r\nab",
            BrokenRejection::CutInChunk => "Transfer-Encoding: chunked\r\n\r\n14\r\nab",
            BrokenRejection::Contradictory => "X-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n",
            BrokenRejection::Twice => "Content-Length: 0\r\n\r\n",
        };
        format!("HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\n{rest}")
    }

    fn then(self) -> AfterRejection {
        match self {
            BrokenRejection::CutAndClosed | BrokenRejection::CutInChunk => AfterRejection::Close,
            BrokenRejection::CutAndReset => AfterRejection::Reset,
            BrokenRejection::CutAndSilent => AfterRejection::Hang,
            BrokenRejection::Contradictory | BrokenRejection::Twice => AfterRejection::NextRequest,
        }
    }

    /// Writes it, and tells what becomes of the connection. A second copy is not written `within_response`:
    /// with the part before it, it would make a whole response that nobody can tell from a sound one.
    pub(super) async fn send(
        self,
        socket: &Rc<SimTcp>,
        within_response: &Rc<Cell<bool>>,
        rng: &RefCell<SmallRng>,
    ) -> AfterRejection {
        let text = self.text();
        if Stream::new(socket.clone(), Rc::new(())).write_all(text.as_bytes()).await.is_err() {
            return AfterRejection::Close;
        }
        if self == BrokenRejection::Twice {
            let delay = Duration::from_millis(rng.borrow_mut().random_range(SECOND_COPY_MS));
            let mut stream = Stream::new(socket.clone(), Rc::new(()));
            let within_response = within_response.clone();
            SimRuntime::spawn(async move {
                SimRuntime::sleep(delay).await;
                if !within_response.get() {
                    let _ = stream.write_all(text.as_bytes()).await;
                }
            });
        }
        self.then()
    }
}
