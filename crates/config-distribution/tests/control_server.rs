//! A control server's responses to its hosts.

mod support;

use std::time::Duration;

use config_distribution::watch::{LongPoll, Rejected};
use support::{body, interest, key, leading_origin, replicate, watch_request};

#[test]
fn host_receives_matching_documents_only() {
    let (mut origin, mut servers) = leading_origin(3);
    for text in ["*", "a", "a@z1", "a@z2", "b"] {
        origin.publish(key(text), body(1)).expect("the origin leads");
    }
    replicate(&mut origin, &mut servers);
    let server = &mut servers[0];
    let first = watch_request("h1", interest(&["a"], "z1"), 0);
    server.register(&first, Duration::ZERO).expect("accepted");
    let response = server.respond(&first, LongPoll::Waiting, Duration::ZERO).expect("at once");
    let keys: Vec<_> = response.documents.iter().map(|d| d.key.to_string()).collect();
    let expected = vec!["*".into(), "a".into(), "a@z1".to_owned()];
    assert_eq!((response.is_snapshot, keys), (true, expected));
    // A document that does not match changes: the host's request is still held.
    let next = watch_request("h1", interest(&["a"], "z1"), response.generation);
    origin.publish(key("b"), body(2)).expect("the origin leads");
    replicate(&mut origin, &mut servers);
    assert!(servers[0].respond(&next, LongPoll::Waiting, Duration::ZERO).is_none());
    origin.publish(key("a@z1"), None).expect("the document to delete exists");
    replicate(&mut origin, &mut servers);
    let response = servers[0].respond(&next, LongPoll::Waiting, Duration::ZERO).expect("a change");
    assert_eq!((response.is_snapshot, response.documents.len()), (false, 1));
    assert!(response.documents[0].body.is_none(), "withdrawn");
    // A host that comes from another server and is ahead of this one receives no older documents.
    let ahead = watch_request("h1", interest(&["a"], "z1"), response.generation + 9);
    assert!(servers[0].respond(&ahead, LongPoll::Waiting, Duration::ZERO).is_none());
    let expired =
        servers[0].respond(&ahead, LongPoll::Expired, Duration::ZERO).expect("its time is over");
    assert!(expired.documents.is_empty());
    // Four hosts are accepted, and a fifth one only once another is silent.
    for n in 2..=4 {
        let request = watch_request(&format!("h{n}"), interest(&["a"], "z1"), 0);
        servers[0].register(&request, Duration::ZERO).expect("room");
    }
    let fifth = watch_request("h5", interest(&["a"], "z1"), 0);
    assert_eq!(servers[0].register(&fifth, Duration::ZERO), Err(Rejected::Full { hosts: 4 }));
    servers[0].register(&fifth, Duration::from_secs(60)).expect("the others are silent");
    let invalid = watch_request("h 6", interest(&["a"], "z1"), 0);
    let rejected = Err(Rejected::InvalidHost { host: "h 6".to_owned() });
    assert_eq!(servers[0].register(&invalid, Duration::ZERO), rejected);
}
