//! Tests of the fake discovery.

use super::*;

fn entry(port: u16) -> Entry {
    Entry::new(SocketAddr::from(([127, 0, 0, 1], port)), "a")
}

#[test]
fn watch_gets_changes_and_an_old_one_the_complete_list() {
    let mut list = EndpointList::new(vec![entry(1)]);
    assert!(list.answer(None).expect("a list").contains(r#""whole":true"#));
    assert_eq!(list.answer(Some(1)), None);
    list.version = 2;
    list.changes.push((2, entry(2)));
    let answer = list.answer(Some(1)).expect("a change");
    assert!(
        answer.contains(r#""whole":false"#) && answer.contains("s-2") && !answer.contains("s-1")
    );
    // The client got this version from an earlier process of discovery.
    assert!(list.answer(Some(9)).expect("a list").contains(r#""whole":true"#));
    list.version = 2 + MAX_CHANGES as u64;
    assert!(list.answer(Some(1)).expect("a list").contains(r#""whole":true"#));
}

#[test]
fn change_ends_a_wait_and_outage_ends_a_request() {
    let registry = Registry::start(vec![entry(1)]);
    let ask = |hold: u64| {
        let at = registry.at;
        async move {
            let mut reader = Reader::new(TcpStream::connect(at).await.expect("up"));
            let text = format!("GET /registry/instances?from=1&hold_ms={hold} HTTP/1.1\r\n\r\n");
            reader.get_mut().write_all(text.as_bytes()).await.expect("sent");
            reader.next().await.ok().flatten()
        }
    };
    let waiting = crate::runtime().spawn(ask(60_000));
    registry.update(entry(2));
    let answer = crate::runtime().block_on(waiting).expect("no panic").expect("an answer");
    assert!(String::from_utf8_lossy(&answer.body).contains("s-2"));
    registry.take_down();
    assert!(crate::runtime().block_on(ask(0)).is_none());
    registry.bring_up();
    assert!(crate::runtime().block_on(ask(0)).is_some());
}

#[test]
fn changes_of_one_version_are_kept_or_forgotten_together() {
    let mut list = EndpointList::new(vec![entry(1)]);
    list.update_all((2..=10).map(entry).collect());
    assert_eq!((list.version(), list.answered_entries(Some(1)).len()), (2, 9));
    // Two of the nine changes of version 2 are dropped, so the others alone would be incomplete for version 1.
    list.update_all((11..=10 + MAX_CHANGES as u16 - 7).map(entry).collect());
    let answer = list.answer(Some(1)).expect("a list");
    assert!(answer.contains(r#""whole":true"#));
    let answer = list.answer(Some(2)).expect("changes");
    assert!(answer.contains(r#""whole":false"#));
}

#[test]
fn silent_connection_stays_silent_and_a_new_one_is_answered() {
    let registry = Registry::start(vec![entry(1)]);
    let ask = async |reader: &mut Reader<TcpStream>| {
        let text = "GET /registry/instances HTTP/1.1\r\n\r\n";
        reader.get_mut().write_all(text.as_bytes()).await.expect("sent");
        let answer = tokio::time::timeout(Duration::from_millis(200), reader.next()).await;
        answer.is_ok_and(|answer| answer.is_ok_and(|message| message.is_some()))
    };
    crate::runtime().block_on(async {
        let connect = || async { Reader::new(TcpStream::connect(registry.at).await.expect("up")) };
        let mut open = connect().await;
        assert!(ask(&mut open).await);
        registry.silence_open_connections();
        assert!(!ask(&mut open).await);
        assert!(ask(&mut connect().await).await);
        registry.set_faults(RegistryFaults { silent: true, ..RegistryFaults::default() });
        let mut open = connect().await;
        assert!(!ask(&mut open).await);
        registry.set_faults(RegistryFaults::default());
        assert!(!ask(&mut open).await);
        assert!(ask(&mut connect().await).await);
    });
}
