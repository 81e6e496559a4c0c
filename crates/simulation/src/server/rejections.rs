//! Rejections that do not prove that the request was not executed: truncated, contradictory, or sent twice.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use runtime::{Runtime, Stream};
use simnet::{SimRuntime, SimTcp};
use tokio::io::AsyncWriteExt;

/// The time after a rejection at which its second copy is sent, in milliseconds.
const SECOND_COPY_MS: std::ops::Range<u64> = 2..15;

/// The defect of a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BrokenRejection {
    /// Its body is shorter than its `Content-Length`, and the connection is closed.
    TruncatedAndClosed,
    /// Its body is shorter than its `Content-Length`, and the connection is reset.
    TruncatedAndReset,
    /// Its body is shorter than its `Content-Length`, and the connection stays open.
    TruncatedAndSilent,
    /// It ends within a chunk, and the connection is closed.
    TruncatedInChunk,
    /// Its head also declares that the request may have been executed.
    Contradictory,
    /// It is complete, and a copy is sent some milliseconds later.
    Duplicated,
}

/// The use of a connection after a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterRejection {
    NextRequest,
    Close,
    Reset,
    Hang,
}

impl BrokenRejection {
    const ALL: [BrokenRejection; 6] = [
        BrokenRejection::TruncatedAndClosed,
        BrokenRejection::TruncatedAndReset,
        BrokenRejection::TruncatedAndSilent,
        BrokenRejection::TruncatedInChunk,
        BrokenRejection::Contradictory,
        BrokenRejection::Duplicated,
    ];

    pub(super) fn draw(rng: &mut SmallRng) -> BrokenRejection {
        *BrokenRejection::ALL.choose(rng).unwrap_or(&BrokenRejection::TruncatedAndClosed)
    }

    /// Whether the request is executed despite the rejection.
    pub(super) fn is_executed(self) -> bool {
        self != BrokenRejection::Duplicated
    }

    fn text(self) -> String {
        let rest = match self {
            BrokenRejection::TruncatedAndClosed
            | BrokenRejection::TruncatedAndReset
            | BrokenRejection::TruncatedAndSilent => "Content-Length: 20\r\n\r\nab",
            BrokenRejection::TruncatedInChunk => "Transfer-Encoding: chunked\r\n\r\n14\r\nab",
            BrokenRejection::Contradictory => "X-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n",
            BrokenRejection::Duplicated => "Content-Length: 0\r\n\r\n",
        };
        format!("HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\n{rest}")
    }

    fn after_rejection(self) -> AfterRejection {
        match self {
            BrokenRejection::TruncatedAndClosed | BrokenRejection::TruncatedInChunk => {
                AfterRejection::Close
            }
            BrokenRejection::TruncatedAndReset => AfterRejection::Reset,
            BrokenRejection::TruncatedAndSilent => AfterRejection::Hang,
            BrokenRejection::Contradictory | BrokenRejection::Duplicated => {
                AfterRejection::NextRequest
            }
        }
    }

    /// Writes the rejection, and returns the further use of the connection. A second copy is not written while
    /// `within_response` is set: together with the truncated response before it, the copy could form a complete
    /// response that no client can tell from a valid one.
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
        if self == BrokenRejection::Duplicated {
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
        self.after_rejection()
    }
}
