//! Calls and answers over HTTP/1.1: the library's, with bounds on connections, sizes and times.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self as client, SendRequest};
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_io_timeout::TimeoutStream;

/// The longest body, either way: all documents, and what they are wrapped in.
const LONGEST: usize = crate::documents::MOST_BYTES + (8 << 20);
/// A connection on which nothing has come for so long, or nothing could be written, is closed.
const READ: Duration = Duration::from_secs(120);
const WRITE: Duration = Duration::from_secs(10);
/// How long one may take to come up.
const CONNECT: Duration = Duration::from_millis(800);
/// What is read at once of a connection.
const BUFFER: usize = 16 << 10;
const AGAIN: Duration = Duration::from_millis(50);

/// A call as it came.
pub struct Asked {
    /// Its path.
    pub path: String,
    /// What stands behind it, as pairs.
    pub query: Vec<(String, String)>,
    /// Its body.
    pub body: Bytes,
}

impl Asked {
    /// The first value of this name; empty if there is none.
    pub fn value(&self, name: &str) -> &str {
        self.query.iter().find(|(n, _)| n == name).map_or("", |(_, v)| v)
    }

    /// The number of this name; 0 if there is none.
    ///
    /// # Errors
    ///
    /// When it is no number.
    pub fn number(&self, name: &str) -> Result<u64, Reply> {
        match self.value(name) {
            "" => Ok(0),
            text => {
                text.parse().map_err(|_| Reply::error(400, &format!("{name}: a number expected")))
            }
        }
    }
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Reply {
    status: u16,
    body: Vec<u8>,
}

impl Reply {
    /// All is well.
    pub fn json(value: &impl serde::Serialize) -> Reply {
        match serde_json::to_vec(value) {
            Ok(body) => Reply { status: 200, body },
            Err(why) => Reply::error(500, &why.to_string()),
        }
    }

    /// It is not.
    pub fn error(status: u16, why: &str) -> Reply {
        Reply { status, body: serde_json::json!({"error": why}).to_string().into_bytes() }
    }
}

/// Answers calls on `listener`, on so many connections at the most; never ends.
pub async fn serve<F: Future<Output = Reply> + 'static>(
    listener: TcpListener,
    most: usize,
    answer: impl Fn(Asked) -> F + 'static,
) {
    let (answer, places) = (Rc::new(answer), Arc::new(Semaphore::new(most)));
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(AGAIN).await;
            continue;
        };
        // One too many is closed: who called goes elsewhere.
        let Ok(place) = places.clone().try_acquire_owned() else { continue };
        let answer = answer.clone();
        tokio::task::spawn_local(async move {
            let _ = socket.set_nodelay(true);
            // Danger: a reader that is slow or dead would keep its answer, and its place, for ever.
            let mut socket = TimeoutStream::new(socket);
            socket.set_read_timeout(Some(READ));
            socket.set_write_timeout(Some(WRITE));
            let service = service_fn(move |request| {
                let answer = answer.clone();
                async move {
                    let Reply { status, body } = match asked(request).await {
                        Ok(asked) => answer(asked).await,
                        Err(reply) => reply,
                    };
                    let mut response = Response::new(Full::new(Bytes::from(body)));
                    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
                    Ok::<_, Infallible>(response)
                }
            });
            let mut builder = server::Builder::new();
            builder.max_buf_size(BUFFER).half_close(false);
            let _ = builder.serve_connection(TokioIo::new(Box::pin(socket)), service).await;
            drop(place);
        });
    }
}

async fn asked(request: Request<hyper::body::Incoming>) -> Result<Asked, Reply> {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().as_bytes();
    let query = form_urlencoded::parse(query).into_owned().collect();
    let body = Limited::new(request.into_body(), LONGEST).collect();
    match timeout(WRITE, body).await {
        Ok(Ok(body)) => Ok(Asked { path, query, body: body.to_bytes() }),
        Ok(Err(why)) => Err(Reply::error(413, &why.to_string())),
        Err(_) => Err(Reply::error(408, "the body did not come in time")),
    }
}

/// Why a call brought nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failed {
    /// No connection, no answer in time, or none that can be read.
    Broken(String),
    /// An answer that is a refusal.
    Refused(u16, String),
}

impl std::fmt::Display for Failed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failed::Broken(why) => f.write_str(why),
            Failed::Refused(status, why) => write!(f, "{why} ({status})"),
        }
    }
}

/// Calls to one address, one after the other on one connection.
pub struct Caller {
    to: SocketAddr,
    connection: Option<Connection>,
    served: bool,
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Caller {
    /// Calls to there.
    pub fn new(to: SocketAddr) -> Caller {
        Caller { to, connection: None, served: false }
    }

    /// Whether a call was answered on the present connection, or the one that broke last.
    pub fn served(&self) -> bool {
        self.served
    }

    /// What is at `path`; `body`: it is sent there. The answer is waited for so long.
    ///
    /// # Errors
    ///
    /// Why there is none.
    pub async fn call(
        &mut self,
        path: &str,
        body: Option<Vec<u8>>,
        patience: Duration,
    ) -> Result<Bytes, Failed> {
        let broken = |why: &dyn std::fmt::Display| Failed::Broken(why.to_string());
        let connection = self.connection.take().filter(|c| !c.sender.is_closed());
        let mut connection = match connection {
            Some(connection) => connection,
            None => {
                self.served = false;
                let up = timeout(CONNECT, connect(self.to)).await;
                up.map_err(|_| broken(&"no connection came up"))?.map_err(|e| broken(&e))?
            }
        };
        let request = Request::builder()
            .method(if body.is_some() { "POST" } else { "GET" })
            .uri(path)
            .header("Host", self.to.to_string())
            .body(Full::new(Bytes::from(body.unwrap_or_default())))
            .map_err(|e| broken(&e))?;
        let answer = timeout(patience, async {
            connection.sender.ready().await.map_err(|e| broken(&e))?;
            let answer = connection.sender.send_request(request).await.map_err(|e| broken(&e))?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), LONGEST).collect().await;
            Ok::<_, Failed>((status, body.map_err(|e| broken(&e))?.to_bytes()))
        });
        let (status, body) = answer.await.map_err(|_| broken(&"no answer in time"))??;
        (self.connection, self.served) = (Some(connection), true);
        if status == StatusCode::OK {
            return Ok(body);
        }
        let told: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let why = told["error"].as_str().unwrap_or("refused").to_owned();
        Err(Failed::Refused(status.as_u16(), why))
    }

    /// The same, read as JSON.
    ///
    /// # Errors
    ///
    /// Why there is none.
    pub async fn json<T: serde::de::DeserializeOwned>(
        &mut self,
        path: &str,
        body: Option<Vec<u8>>,
        patience: Duration,
    ) -> Result<T, Failed> {
        let answer = self.call(path, body, patience).await?;
        serde_json::from_slice(&answer).map_err(|why| {
            self.connection = None;
            Failed::Broken(format!("an answer that cannot be read: {why}"))
        })
    }
}

async fn connect(to: SocketAddr) -> io::Result<Connection> {
    let socket = TcpStream::connect(to).await?;
    socket.set_nodelay(true)?;
    let (sender, driving) = client::Builder::new()
        .max_buf_size(BUFFER)
        .handshake(TokioIo::new(socket))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        let _ = driving.await;
    });
    Ok(Connection { sender, task })
}

/// A path with pairs behind it.
pub fn path<'a>(path: &str, pairs: impl IntoIterator<Item = (&'a str, String)>) -> String {
    let mut query = form_urlencoded::Serializer::new(String::new());
    query.extend_pairs(pairs);
    format!("{path}?{}", query.finish())
}
