//! Malformed rejections, which do not prove that the request was not executed: truncated, contradictory, or sent twice.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use tokio::io::{AsyncWrite, AsyncWriteExt};

use super::ConnectionEnd;

const HEAD: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\n";
/// The time after a rejection at which its second copy is sent, in milliseconds.
const SECOND_COPY_MS: std::ops::Range<u64> = 2..12;

/// The defect of a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    /// The body is shorter than its Content-Length.
    Truncated(AfterTruncation),
    /// The head also says that the request may have been processed.
    Contradictory,
    /// The rejection is complete, and sent twice.
    Twice,
}

/// The action of a server after a truncated rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterTruncation {
    Close,
    Reset,
    Wait,
}

const FORMS: [Form; 5] = [
    Form::Truncated(AfterTruncation::Close),
    Form::Truncated(AfterTruncation::Reset),
    Form::Truncated(AfterTruncation::Wait),
    Form::Contradictory,
    Form::Twice,
];

/// A malformed rejection.
#[derive(Clone, Copy, Debug)]
pub(super) struct BrokenRejection {
    form: Form,
    second_copy: Duration,
}

impl BrokenRejection {
    pub(super) fn draw(rng: &mut StdRng) -> BrokenRejection {
        let form = *FORMS.choose(rng).unwrap_or(&Form::Contradictory);
        let second_copy = Duration::from_millis(rng.random_range(SECOND_COPY_MS));
        BrokenRejection { form, second_copy }
    }

    /// Returns whether the request is executed although it is rejected.
    pub(super) fn is_executed(self) -> bool {
        self.form != Form::Twice
    }

    /// Writes the rejection. Returns how the connection ends, or `None` if it stays open.
    pub(super) async fn send(
        self,
        socket: &mut (impl AsyncWrite + Unpin),
    ) -> Option<ConnectionEnd> {
        let rest = match self.form {
            Form::Truncated(_) => "Content-Length: 20\r\n\r\nab",
            Form::Contradictory => "X-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n",
            Form::Twice => "Content-Length: 0\r\n\r\n",
        };
        let text = format!("{HEAD}{rest}");
        if socket.write_all(text.as_bytes()).await.is_err() {
            return Some(ConnectionEnd::Closed);
        }
        match self.form {
            Form::Truncated(AfterTruncation::Close) => Some(ConnectionEnd::Closed),
            Form::Truncated(AfterTruncation::Reset) => Some(ConnectionEnd::Reset),
            Form::Truncated(AfterTruncation::Wait) => std::future::pending().await,
            Form::Contradictory => None,
            Form::Twice => {
                tokio::time::sleep(self.second_copy).await;
                let written = socket.write_all(text.as_bytes()).await;
                written.is_err().then_some(ConnectionEnd::Closed)
            }
        }
    }
}
