//! The second responses of a connection that are yet to be sent.

use std::io::{self, Write};

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::second_answer::{SecondAnswer, When};

/// The second responses of a connection that are yet to be sent. They are dropped with the connection.
#[derive(Default)]
pub(super) struct SecondAnswers {
    with_next_request: Option<Vec<u8>>,
    later: JoinSet<()>,
}

impl SecondAnswers {
    /// Takes the second response that is to be sent before the response to the request that has just arrived.
    pub(super) fn take(&mut self) -> Option<Vec<u8>> {
        while self.later.try_join_next().is_some() {}
        self.with_next_request.take()
    }

    /// Plans to send `first` again on its connection.
    ///
    /// # Errors
    ///
    /// When there is no descriptor for a second handle of the socket.
    pub(super) fn plan(
        &mut self,
        second: SecondAnswer,
        first: &str,
        socket: &TcpStream,
    ) -> io::Result<()> {
        let text = second.text(first.as_bytes());
        match second.when {
            When::NextRequest => self.with_next_request = Some(text),
            When::Later(delay) => {
                let mut handle = SockRef::from(socket).try_clone()?;
                self.later.spawn(async move {
                    tokio::time::sleep(delay).await;
                    // The few bytes fit into the socket buffer, so the write does not block.
                    let _ = handle.write(&text);
                });
            }
        }
        Ok(())
    }
}
