//! Messages encoded by version 0.2.0 are decoded, and encoded to the same bytes.

use std::path::{Path, PathBuf};

use gossip::{Event, MemberRecord, MemberState, Message, Node, Outgoing, Payload, TenantQuotas};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// Reads the messages of a fixture, which has one message per line in hexadecimal digits.
fn lines(name: &str) -> Vec<Vec<u8>> {
    let text = std::fs::read_to_string(fixture(name)).expect("a fixture");
    let byte = |at: usize, line: &str| u8::from_str_radix(&line[at..at + 2], 16).expect("digits");
    text.lines().map(|l| (0..l.len()).step_by(2).map(|at| byte(at, l)).collect()).collect()
}

fn estimate() -> Message {
    Message {
        incarnation: 0x0102_0304,
        receiver_incarnation: 0,
        sequence: 1,
        acknowledged: 0,
        flow_version: 0,
        schema: 0xbeef,
        payload: Payload::Estimate,
        values: vec![1.0, 250.5, 0.25, 0.0, 3.5, 120.0, 7.0, 130.5],
        records: Vec::new(),
    }
}

fn flow() -> Message {
    Message {
        receiver_incarnation: 0x0a0b_0c0d,
        sequence: 70_000,
        acknowledged: 69_999,
        flow_version: 4_000_000_000,
        payload: Payload::Flow,
        values: vec![-0.125, 12.75, -99_999.0, 0.0, 1e-3, -0.0, 1.5, 2.0],
        ..estimate()
    }
}

fn every_record() -> Message {
    let record = |member, incarnation, state| MemberRecord { member, incarnation, state };
    Message {
        records: vec![
            record(0, 0, MemberState::Unknown),
            record(1, 0x1122_3344, MemberState::Alive),
            record(258, 7, MemberState::Suspect),
            record(65_535, u32::MAX, MemberState::Dead),
        ],
        ..flow()
    }
}

fn check(name: &str, message: &Message) {
    let messages = lines(name);
    assert_eq!(Message::decode(&messages[0]).as_ref(), Ok(message), "{name} is decoded");
    assert_eq!(message.encode(), messages[0], "{name} is encoded as before");
}

#[test]
fn estimate_message_is_decoded_and_encoded_as_before() {
    check("estimate.hex", &estimate());
}

#[test]
fn flow_message_is_decoded_and_encoded_as_before() {
    check("flow.hex", &flow());
}

#[test]
fn message_with_records_of_every_state_is_decoded_and_encoded_as_before() {
    check("records.hex", &every_record());
}

/// Runs two members of a cluster of three from their start and returns all of their messages. The third member is never
/// running; the others send to it now and then.
fn conversation() -> Vec<Vec<u8>> {
    let config = |local_id| gossip::Config {
        local_id,
        cluster_size: 3,
        started_unix_ms: 1_790_000_000_000 + 1000 * u64::from(local_id),
        round_interval: 100_000,
        quotas: TenantQuotas { schema: 0x1234, per_second: vec![30.0, 5.0] },
        class_count: 2,
        seed: 11,
    };
    let mut members: Vec<Node> =
        (0..2).map(|id| Node::new(config(id), 0).expect("a valid configuration")).collect();
    let mut messages = Vec::new();
    for step in 0..12_000_u64 {
        let now = step * 1_000;
        for id in 0..2 {
            if step % 10 == id as u64 {
                members[id].try_admit(id, id, now);
                members[id].record(Event::Attempt, now);
            }
            let Some(Outgoing { receiver, data }) = members[id].poll(now) else { continue };
            messages.push(data.clone());
            if receiver == 2 {
                continue;
            }
            if let Some(answer) = members[receiver as usize].receive(id as u32, &data, now) {
                members[id].receive(receiver, &answer, now);
                messages.push(answer);
            }
        }
    }
    messages
}

#[test]
fn conversation_of_two_members_is_the_same_as_before() {
    let before = lines("conversation.hex");
    let now = conversation();
    assert_eq!(now.len(), before.len());
    for (n, (now, before)) in now.iter().zip(&before).enumerate() {
        assert_eq!(now, before, "message {n}");
        let decoded = Message::decode(before).expect("a message");
        assert_eq!(&decoded.encode(), before, "message {n}");
    }
}
