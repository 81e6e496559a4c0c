//! The log servers themselves: what they do when all is well, and each fault.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fakes::account::Account;
use fakes::logserver::{Fault, Keys, LogServer, Spec};
use fakes::wire::{Message, Reader};
use fakes::world::classes;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

fn spec() -> Spec {
    Spec {
        name: "one".into(),
        cores: 1,
        room: 1,
        connections: 8,
        cold_share: 0.1,
        warm_after: Duration::ZERO,
        keys: Arc::new(Keys::default()),
        window: Duration::from_secs(60),
        idle: Duration::from_secs(30),
        seed: 1,
    }
}

async fn started(spec: Spec) -> (LogServer, Arc<Account>) {
    let account = Arc::new(Account::new(classes(1.0)));
    let server = LogServer::start(spec, account.clone()).await.expect("a port");
    (server, account)
}

/// An order of a new client; an error is the end of the connection.
async fn order(server: &LogServer, account: &Account, key: &str) -> std::io::Result<Message> {
    let id = account.next_try(account.ask(2)).id();
    let key = if key.is_empty() { String::new() } else { format!("Idempotency-Key: {key}\r\n") };
    let class = if key.is_empty() { "qsl-order" } else { "log-upload" };
    let text = format!(
        "POST /{class}/1 HTTP/1.1\r\nX-Correlation-Id: {id}\r\n{key}Content-Length: 2\r\n\r\nab"
    );
    let mut reader = Reader::new(TcpStream::connect(server.at).await?);
    reader.get_mut().write_all(text.as_bytes()).await?;
    reader.next().await?.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}

#[tokio::test]
async fn a_sound_one_answers_with_its_load_and_drops_repeats_of_a_key() {
    let (server, account) = started(spec()).await;
    let answer = order(&server, &account, "").await.expect("an answer");
    assert_eq!(answer.status(), Some(200));
    let load = answer.header("x-backend-load").expect("a report");
    assert!(load.contains("queue=") && load.contains("inflight=") && load.contains("util="));
    for _ in 0..3 {
        assert_eq!(order(&server, &account, "k").await.expect("an answer").status(), Some(200));
    }
    let did = &account.report().servers["one"];
    assert_eq!((did.seen, did.ran, did.dropped), (4, 2, 2));
}

#[tokio::test]
async fn each_fault_is_what_it_says() {
    for (fault, runs) in [
        (Fault::Error, 1),
        (Fault::ResetBefore, 0),
        (Fault::ResetAfter, 1),
        (Fault::Hang, 1),
        (Fault::Spoilt, 1),
        (Fault::Half, 1),
    ] {
        let (server, account) = started(spec()).await;
        server.faults(vec![(1.0, fault)]);
        let silent = matches!(fault, Fault::Hang | Fault::Half);
        let patience = if silent { Duration::from_secs(2) } else { fakes::PATIENCE };
        let told = timeout(patience, order(&server, &account, "")).await;
        match (fault, told) {
            (Fault::Error, Ok(Ok(answer))) => assert_eq!(answer.status(), Some(500)),
            (Fault::Spoilt, Ok(Ok(answer))) => assert_eq!(answer.status(), None),
            (Fault::ResetBefore | Fault::ResetAfter, Ok(Err(_))) => {}
            (Fault::Hang | Fault::Half, Err(_)) => {}
            (fault, told) => panic!("{fault:?}: {told:?}"),
        }
        assert_eq!(account.report().servers["one"].ran, runs, "{fault:?}");
    }
}

#[tokio::test]
async fn full_and_draining_ones_turn_away_unseen_and_a_dead_one_refuses() {
    let (server, account) = started(spec()).await;
    server.slow(100.0);
    // One at work, one that waits, one too many.
    let all = async {
        tokio::join!(
            order(&server, &account, ""),
            order(&server, &account, ""),
            order(&server, &account, ""),
            order(&server, &account, "")
        )
    };
    let _ = timeout(Duration::from_secs(3), all).await;
    assert!(account.report().servers["one"].turned_away >= 1);
    server.drain();
    let answer = order(&server, &account, "").await.expect("an answer");
    assert_eq!((answer.status(), answer.header("x-unprocessed")), (Some(503), Some("1".into())));
    server.kill();
    let end = Instant::now() + fakes::PATIENCE;
    while TcpStream::connect(server.at).await.is_ok() {
        assert!(Instant::now() < end, "it still accepts");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_cold_one_is_slower_than_a_warm_one() {
    let cold = Spec { warm_after: Duration::from_secs(3600), ..spec() };
    let (cold, of_cold) = started(cold).await;
    let (warm, of_warm) = started(spec()).await;
    let took = |began: Instant| began.elapsed();
    let began = Instant::now();
    order(&cold, &of_cold, "").await.expect("an answer");
    // A tenth of its speed: 60 ms at the least.
    assert!(took(began) >= Duration::from_millis(55));
    order(&warm, &of_warm, "").await.expect("an answer");
    assert_eq!(of_warm.report().servers["one"].ran, 1);
}
