//! Tests of the fake log servers, without faults and with each of them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fakes::account::Account;
use fakes::contents::{Direction, body_of};
use fakes::logserver::{Fault, LogServer, RecentKeys, ServerSpec};
use fakes::wire::{Message, Reader};
use fakes::world::classes;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

fn spec() -> ServerSpec {
    ServerSpec {
        name: "one".into(),
        cores: 1,
        queue_capacity: 1,
        max_connections: 8,
        cold_share: 0.1,
        warm_up: Duration::ZERO,
        idempotency_keys: Arc::new(RecentKeys::default()),
        deduplication_window: Duration::from_secs(60),
        idle_timeout: Duration::from_secs(30),
        seed: 1,
    }
}

async fn started(spec: ServerSpec) -> (LogServer, Arc<Account>) {
    let account = Arc::new(Account::new(classes(1.0)));
    let server = LogServer::start(spec, account.clone()).await.expect("a port");
    (server, account)
}

/// Sends one request on a new connection: an upload with an idempotency key, or an order if `key` is empty. Returns an
/// error if the connection ends without a response.
async fn order(server: &LogServer, account: &Account, key: &str) -> std::io::Result<Message> {
    let id = account.next_attempt(account.begin(2)).request_id();
    let key = if key.is_empty() { String::new() } else { format!("Idempotency-Key: {key}\r\n") };
    let class = if key.is_empty() { "qsl-order" } else { "log-upload" };
    let body = body_of(Direction::Request, &id, 200);
    let head = format!(
        "POST /{class}/1 HTTP/1.1\r\nX-Correlation-Id: {id}\r\n{key}Content-Length: 200\r\n\r\n"
    );
    let mut reader = Reader::new(TcpStream::connect(server.at).await?);
    reader.get_mut().write_all(&[head.into_bytes(), body].concat()).await?;
    reader.next().await?.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}

#[tokio::test]
async fn healthy_server_reports_its_load_and_deduplicates_by_key() {
    let (server, account) = started(spec()).await;
    let answer = order(&server, &account, "").await.expect("an answer");
    assert_eq!(answer.status(), Some(200));
    let load = answer.header("x-backend-load").expect("a report");
    assert!(load.contains("queue=") && load.contains("inflight=") && load.contains("util="));
    for _ in 0..3 {
        assert_eq!(order(&server, &account, "k").await.expect("an answer").status(), Some(200));
    }
    let server = &account.report().servers["one"];
    assert_eq!((server.received, server.executed, server.deduplicated), (4, 2, 2));
}

#[tokio::test]
async fn each_fault_has_its_effect() {
    for (fault, executions) in [
        (Fault::Error, 1),
        (Fault::ResetBefore, 0),
        (Fault::ResetAfter, 1),
        (Fault::Hang, 1),
        (Fault::Garbage, 1),
        (Fault::Truncated, 1),
    ] {
        let (server, account) = started(spec()).await;
        server.set_faults(vec![(1.0, fault)]);
        let silent = matches!(fault, Fault::Hang | Fault::Truncated);
        let patience = if silent { Duration::from_secs(2) } else { fakes::PATIENCE };
        let answer = timeout(patience, order(&server, &account, "")).await;
        match (fault, answer) {
            (Fault::Error, Ok(Ok(answer))) => assert_eq!(answer.status(), Some(500)),
            (Fault::Garbage, Ok(Ok(answer))) => assert_eq!(answer.status(), None),
            (Fault::ResetBefore | Fault::ResetAfter, Ok(Err(_))) => {}
            (Fault::Hang | Fault::Truncated, Err(_)) => {}
            (fault, answer) => panic!("{fault:?}: {answer:?}"),
        }
        assert_eq!(account.report().servers["one"].executed, executions, "{fault:?}");
    }
}

#[tokio::test]
async fn broken_rejections_come_in_every_form() {
    let (server, account) = started(spec()).await;
    server.set_faults(vec![(1.0, Fault::BrokenRejection)]);
    let mut complete = 0;
    for _ in 0..40 {
        let answer = timeout(Duration::from_millis(200), order(&server, &account, "")).await;
        let Ok(Ok(answer)) = answer else { continue };
        assert_eq!(answer.status(), Some(503));
        complete += 1;
    }
    let executed = account.report().servers["one"].executed;
    // Three of the five forms are truncated, and one is not executed.
    assert!((4..=30).contains(&complete), "{complete}");
    assert!((20..40).contains(&executed), "{executed}");
}

#[tokio::test]
async fn second_answers_follow_on_the_same_connection() {
    let (server, account) = started(spec()).await;
    server.set_faults(vec![(1.0, Fault::SecondAnswer)]);
    let (mut served, mut rejected) = (0, 0);
    for _ in 0..40 {
        let answer = order(&server, &account, "").await.expect("an answer");
        match answer.status() {
            Some(200) => served += 1,
            Some(503) => rejected += 1,
            other => panic!("{other:?}"),
        }
    }
    assert!(served > 10 && rejected > 3, "{served} served, {rejected} rejected");
    assert_eq!(account.report().servers["one"].executed, served);
}

#[tokio::test]
async fn full_and_draining_servers_reject_and_a_killed_one_refuses_connections() {
    let (server, account) = started(spec()).await;
    server.set_slowdown(100.0);
    // One request is executed, one is queued, and the others exceed the queue.
    let all = async {
        tokio::join!(
            order(&server, &account, ""),
            order(&server, &account, ""),
            order(&server, &account, ""),
            order(&server, &account, "")
        )
    };
    let _ = timeout(Duration::from_secs(3), all).await;
    assert!(account.report().servers["one"].rejected >= 1);
    server.drain();
    let answer = order(&server, &account, "").await.expect("an answer");
    assert_eq!((answer.status(), answer.header("x-unprocessed")), (Some(503), Some("1".into())));
    server.kill();
    let end = Instant::now() + fakes::PATIENCE;
    while TcpStream::connect(server.at).await.is_ok() {
        assert!(Instant::now() < end, "a killed server still accepts connections");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn cold_server_is_slower_than_a_warm_one() {
    let cold = ServerSpec { warm_up: Duration::from_secs(3600), ..spec() };
    let (cold, cold_account) = started(cold).await;
    let (warm, warm_account) = started(spec()).await;
    let started_at = Instant::now();
    order(&cold, &cold_account, "").await.expect("an answer");
    // At a tenth of the full speed, a request takes at least 60 ms.
    assert!(started_at.elapsed() >= Duration::from_millis(55));
    order(&warm, &warm_account, "").await.expect("an answer");
    assert_eq!(warm_account.report().servers["one"].executed, 1);
}
