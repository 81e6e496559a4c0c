//! The Unix socket of the operators: one request a line, one answer a line, both JSON. The socket
//! lies in the state's folder, which is its owner's only.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::timeout;

/// The longest request.
const LONGEST: u64 = 4 << 10;
/// Connections at once; more wait to be accepted.
const MOST: usize = 16;
/// A client may take so long to bring its request, or to take its answer.
const PATIENCE: Duration = Duration::from_secs(5);
/// A reload is checked for so long at most, and then answered.
const ANSWER: Duration = Duration::from_secs(60);

/// What operators ask for.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(tag = "do", rename_all = "lowercase", deny_unknown_fields)]
pub enum Request {
    /// How everything is.
    Status,
    /// What happened.
    History,
    /// Read `fleet.toml` again.
    Reload,
    /// Read the program again.
    Upgrade {
        /// Another program than the one that `fleet.toml` names.
        program: Option<std::path::PathBuf>,
    },
    /// Go back from a rollout that runs.
    Rollback,
    /// Take an instance out until it is restarted.
    Drain {
        /// Which.
        slot: String,
    },
    /// Put a successor in an instance's place; without a slot, in all.
    Restart {
        /// Which.
        slot: Option<String>,
    },
    /// Another number of instances, until the next reload.
    Scale {
        /// Of which template.
        name: String,
        /// How many.
        count: usize,
    },
}

/// A request and the way to answer it.
pub type Asked = (Request, oneshot::Sender<Result<Value, String>>);

/// Serves the socket at `path`; every request goes to `to`.
///
/// # Errors
///
/// When it cannot be bound.
pub fn serve(path: &Path, to: mpsc::Sender<Asked>) -> io::Result<()> {
    let _ = std::fs::remove_file(path);
    let listener = UnixListener::bind(path)?;
    let places = Arc::new(Semaphore::new(MOST));
    tokio::spawn(async move {
        loop {
            let Ok(place) = places.clone().acquire_owned().await else { return };
            match listener.accept().await {
                Ok((socket, _)) => {
                    let to = to.clone();
                    tokio::spawn(async move {
                        let _ = answer(socket, to).await;
                        drop(place);
                    });
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    });
    Ok(())
}

/// Danger: whoever connects may send garbage, nothing, or without end, and may not read. Each costs
/// one of few places for a few seconds, and nothing else.
async fn answer(socket: UnixStream, to: mpsc::Sender<Asked>) -> io::Result<()> {
    let (read, mut write) = socket.into_split();
    let mut line = String::new();
    let mut read = BufReader::new(read.take(LONGEST));
    timeout(PATIENCE, read.read_line(&mut line)).await??;
    let result = match serde_json::from_str(line.trim()) {
        Ok(request) => {
            let (reply, result) = oneshot::channel();
            if to.send((request, reply)).await.is_err() {
                return Ok(());
            }
            let gone = || Err("the daemon ends".to_owned());
            match timeout(ANSWER, result).await {
                Ok(result) => result.unwrap_or_else(|_| gone()),
                Err(_) => Err("no answer in time".to_owned()),
            }
        }
        Err(e) => Err(format!("not understood: {e}")),
    };
    let answer = match result {
        Ok(value) => json!({"ok": value}),
        Err(why) => json!({"error": why}),
    };
    let text = answer.to_string() + "\n";
    timeout(PATIENCE, write.write_all(text.as_bytes())).await?
}

/// Asks the daemon whose state lies in `folder`.
///
/// # Errors
///
/// When there is none, or it refuses: its reason.
pub fn ask(folder: &Path, request: &Request) -> Result<Value, String> {
    use std::io::{BufRead, Write};
    let path = folder.join("control.sock");
    let context = |e: io::Error| format!("{}: {e}", path.display());
    let mut socket = std::os::unix::net::UnixStream::connect(&path).map_err(context)?;
    socket.set_read_timeout(Some(ANSWER + PATIENCE)).map_err(context)?;
    let text = serde_json::to_string(request).map_err(|e| e.to_string())?;
    socket.write_all((text + "\n").as_bytes()).map_err(context)?;
    let mut line = String::new();
    std::io::BufReader::new(socket).read_line(&mut line).map_err(context)?;
    let mut answer: Value =
        serde_json::from_str(&line).map_err(|e| format!("{}: {e}", path.display()))?;
    match answer.get("error").and_then(Value::as_str) {
        Some(why) => Err(why.to_owned()),
        None => Ok(answer["ok"].take()),
    }
}
