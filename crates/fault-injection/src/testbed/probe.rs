//! Queries the readiness and the metrics of sidecars.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::sample::SidecarMetrics;

/// The timeout for a sidecar's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum length of an answer that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 << 10;
/// The prefix of a sidecar's metric names on its admin listener.
const METRIC_PREFIX: &str = "sidecar.";

/// Returns whether the sidecar at this address is ready for requests.
pub(super) async fn is_ready(listen: SocketAddr) -> bool {
    let request = "GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n";
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, query(listen, request)).await;
    answer.is_ok_and(|answer| answer.is_ok_and(|text| text.starts_with("HTTP/1.1 200")))
}

/// Returns the metrics of the sidecar with this admin listener. `None` without an address, or if it does not answer.
pub(super) async fn sidecar_metrics(admin: Option<SocketAddr>) -> Option<SidecarMetrics> {
    let admin = admin?;
    let answers = async {
        let statistics = query(admin, "show-stat\n").await?;
        // Versions without this command answer with an error, which is not parsed as a metric.
        let events = query(admin, "show-events\n").await?;
        let discovery = query(admin, "show-discovery\n").await?;
        Ok::<_, io::Error>(statistics + &events + &discovery)
    };
    let answers = tokio::time::timeout(ANSWER_TIMEOUT, answers).await.ok()?.ok()?;
    let metric = |line: &str| {
        let (name, value) = line.strip_prefix(METRIC_PREFIX).unwrap_or(line).split_once('=')?;
        Some((name.to_owned(), value.parse().ok()?))
    };
    let metrics: SidecarMetrics = answers.lines().filter_map(metric).collect();
    (!metrics.is_empty()).then_some(metrics)
}

/// Sends a request and reads the answer until the connection ends.
async fn query(address: SocketAddr, request: &str) -> io::Result<String> {
    let mut socket = TcpStream::connect(address).await?;
    socket.write_all(request.as_bytes()).await?;
    let mut answer = Vec::new();
    socket.take(MAX_ANSWER_BYTES).read_to_end(&mut answer).await?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}
