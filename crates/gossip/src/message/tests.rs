//! Tests of the message's encoding.

use super::*;

fn message() -> Message {
    let record = |member| MemberRecord { member, incarnation: 9, state: MemberState::Suspect };
    Message {
        incarnation: 1,
        receiver_incarnation: 2,
        sequence: 3,
        acknowledged: 4,
        flow_version: 5,
        schema: 6,
        payload: Payload::Flow,
        values: vec![0.5, -1.25, 3e5],
        records: (0..4).map(record).collect(),
    }
}

#[test]
fn encoded_message_is_decoded_and_every_corrupt_byte_is_detected() {
    let data = message().encode();
    assert_eq!(Message::decode(&data), Ok(message()));
    for at in 0..data.len() {
        for by in [2, 0x80] {
            let mut corrupt = data.clone();
            corrupt[at] ^= by;
            // Only the version is not covered by the checksum, and messages of later versions are decoded.
            assert_eq!(Message::decode(&corrupt).is_ok(), at == 1, "byte {at}");
        }
        assert!(Message::decode(&data[..at]).is_err(), "cut at {at}");
    }
}

#[test]
fn known_fields_of_a_later_version_are_decoded() {
    let mut data = message().encode();
    data[1] = 2;
    // A record with an unknown state, and unknown bytes at the end.
    let last = data.len() - 1;
    data[last] = 200;
    data.extend([1, 2, 3]);
    let checksum = crc32fast::hash(&data[6..]);
    data[2..6].copy_from_slice(&checksum.to_le_bytes());
    let decoded = Message::decode(&data).expect("a message");
    assert_eq!((decoded.values, decoded.records.len()), (message().values, 3));
}

#[test]
fn longest_message_fits_and_wrong_counts_are_detected() {
    let record = MemberRecord { member: 1, incarnation: 1, state: MemberState::Alive };
    let full = Message { values: vec![1.0; 60], records: vec![record; 99], ..message() };
    let data = full.encode();
    assert!(data.len() <= MAX_MESSAGE_BYTES, "{}", data.len());
    assert_eq!(Message::decode(&data).expect("a message").values.len(), MAX_VALUES);
    let mut wrong_count = message().encode();
    wrong_count[30] = 255;
    let checksum = crc32fast::hash(&wrong_count[6..]);
    wrong_count[2..6].copy_from_slice(&checksum.to_le_bytes());
    assert_eq!(Message::decode(&wrong_count), Err(DecodeError::Truncated));
}
