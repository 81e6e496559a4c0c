//! Answers that are sent a second time, some time later.

use std::io::{self, Write};
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// The share of these answers that are rejections.
const REJECTED_SHARE: f64 = 0.3;
/// How long after the first a second answer is sent, in milliseconds: short, longer, long.
const DELAYS_MS: [std::ops::Range<u64>; 3] = [1..15, 15..70, 100..400];
/// How many bytes a second answer that is cut lacks.
const MISSING_BYTES: usize = 5;

/// What a second answer looks like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    Same,
    BehindInterim,
    Cut,
}

const FORMS: [Form; 3] = [Form::Same, Form::BehindInterim, Form::Cut];

/// When the second answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum When {
    Later(Duration),
    /// As the next request on the connection has arrived.
    NextRequest,
}

/// How an answer is sent a second time.
#[derive(Clone, Copy, Debug)]
pub(super) struct SecondAnswer {
    /// The request is rejected without being executed.
    pub(super) rejects: bool,
    form: Form,
    when: When,
}

impl SecondAnswer {
    pub(super) fn draw(rng: &mut StdRng) -> SecondAnswer {
        let rejects = rng.random_bool(REJECTED_SHARE);
        let form = *FORMS.choose(rng).unwrap_or(&Form::Same);
        let when = match DELAYS_MS.get(rng.random_range(0..=DELAYS_MS.len())) {
            Some(delays) => When::Later(Duration::from_millis(rng.random_range(delays.clone()))),
            None => When::NextRequest,
        };
        SecondAnswer { rejects, form, when }
    }

    fn text(self, answer: &str) -> String {
        match self.form {
            Form::Same => answer.to_owned(),
            Form::BehindInterim => format!("HTTP/1.1 103 Early Hints\r\n\r\n{answer}"),
            Form::Cut => answer[..answer.len().saturating_sub(MISSING_BYTES)].to_owned(),
        }
    }
}

/// The second answers of a connection that are still to be sent. They end with it.
#[derive(Default)]
pub(super) struct SecondAnswers {
    with_next_request: Option<String>,
    later: JoinSet<()>,
}

impl SecondAnswers {
    /// The answer that is to be sent ahead of the one to a request that has arrived.
    pub(super) fn take(&mut self) -> Option<String> {
        while self.later.try_join_next().is_some() {}
        self.with_next_request.take()
    }

    /// Has `answer` sent once more on its connection.
    ///
    /// # Errors
    ///
    /// When there is no descriptor for a second handle of the socket.
    pub(super) fn plan(
        &mut self,
        second: SecondAnswer,
        answer: &str,
        socket: &TcpStream,
    ) -> io::Result<()> {
        let text = second.text(answer);
        match second.when {
            When::NextRequest => self.with_next_request = Some(text),
            When::Later(delay) => {
                let mut handle = SockRef::from(socket).try_clone()?;
                self.later.spawn(async move {
                    tokio::time::sleep(delay).await;
                    // A few bytes, which the system takes at once.
                    let _ = handle.write(text.as_bytes());
                });
            }
        }
        Ok(())
    }
}
