//! Tests of the simulator's binary protocol: the examples of its specification as golden bytes, and decoding of
//! arbitrary bytes.

use lb_sidecar::api::*;
use lb_sidecar::wire::{Batch, Record, Reply, read_frame};
use proptest::prelude::*;

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(|b| !b.is_ascii_whitespace()).collect();
    digits
        .chunks(2)
        .map(|p| u8::from_str_radix(std::str::from_utf8(p).unwrap(), 16).unwrap())
        .collect()
}

/// Builds a record of `size` bytes from its first bytes, padded with zeros.
fn record(hex: &str, size: usize) -> Vec<u8> {
    let mut r = bytes(hex);
    r.resize(size, 0);
    r
}

fn batch(records: &[&str], tail: &[u8]) -> Vec<u8> {
    let body: Vec<u8> = records.iter().flat_map(|r| record(r, 40)).collect();
    let mut frame = ((16 + body.len() + tail.len()) as u32).to_le_bytes().to_vec();
    frame.extend(bytes("5a5c800000000000"));
    frame.extend((records.len() as u32).to_le_bytes());
    frame.extend(body);
    frame.extend_from_slice(tail);
    frame
}

fn decode(frame: &[u8]) -> Vec<Record<'_>> {
    let batch = Batch::new(frame).unwrap();
    assert_eq!(batch.now, 0x80_5c5a);
    batch.records().collect::<Result<_, _>>().unwrap()
}

const SERVER: u64 = u64::from_le_bytes([0x0a, 0x12, 0x4a, 0x07, 0xc3, 0x2b, 0, 0]);
const REQUEST: u64 = u64::from_le_bytes([0xc4, 0x91, 0x3a, 0x5d, 0x9f, 0x96, 0x05, 0]);

#[test]
fn empty_batch_and_reply() {
    let frame = bytes("10000000 5a5c800000000000 00000000");
    assert_eq!(decode(&frame), []);
    let mut out = Vec::new();
    Reply::default().finish(&mut out);
    assert_eq!(out, bytes("08000000 00000000"));
}

#[test]
fn batch_for_two_instances_and_its_reply() {
    let frame = batch(
        &[
            "0b 0300",
            "02 c4913a5d9f960500 00000000 640ad2557c3bf091 80a90300 e02e0000 00 0100",
            "06 4d000000",
            "0b 0500",
            "05 192b6f0e24d20700",
        ],
        &[],
    );
    assert_eq!(frame[..4], bytes("d8000000"));
    assert_eq!(
        decode(&frame),
        [
            Record::SelectInstance(3),
            Record::Request(NewRequest {
                id: RequestId(REQUEST),
                class: 0,
                tenant: 0,
                affinity_key: 0x91f0_3b7c_55d2_0a64,
                time_left: 240_000,
                work_hint: Some(12_000),
                client_retry: false,
                over_quota: false,
            }),
            Record::Timer(77),
            Record::SelectInstance(5),
            Record::ClientDisconnected(RequestId(0x0007_d224_0e6f_2b19)),
        ]
    );
    let mut reply = Reply::default();
    reply.select_instance(3);
    reply.action(&Action::Send {
        id: RequestId(REQUEST),
        server: ServerId(SERVER),
        timeout: 80_000,
    });
    reply.action(&Action::SetTimer { delay: 500_000, token: 77 });
    reply.select_instance(5);
    reply.action(&Action::Log { text: "two servers known".into() });
    let mut out = Vec::new();
    reply.finish(&mut out);
    let mut expected = bytes("91000000 05000000");
    for r in [
        "01 0300",
        "0c c4913a5d9f960500 0a124a07 c32b 80380100",
        "06 20a10700 4d000000",
        "01 0500",
        "00 00000000 11000000",
    ] {
        expected.extend(record(r, 24));
    }
    expected.extend(bytes("74776f2073657276657273206b6e6f776e"));
    assert_eq!(out, expected);
}

#[test]
fn endpoint_list_and_update_are_decoded() {
    let tail = bytes(
        "0a124a07 c32b 00 0000 0000 01 0000803f 0000000000000000
         0a9011f2 ec2b 01 0000 0000 01 0000c03f 20145d0000000000",
    );
    let frame =
        batch(&["0b 0300", "0a 00000000 00000000 02000000", "01 29000000 01 00000000"], &tail);
    let records = decode(&frame);
    let Record::EndpointList { list: 0, entries } = &records[1] else {
        panic!("{records:?}");
    };
    assert_eq!(entries.len(), 2);
    assert_eq!(entries[0].id, ServerId(SERVER));
    assert_eq!((entries[0].weight, entries[0].started_at), (1.0, 0));
    assert_eq!((entries[1].zone, entries[1].weight), (1, 1.5));
    assert_eq!(entries[1].started_at, 0x5d_1420);
    assert_eq!(entries[1].health, Health::Ready);
    assert_eq!(records[2], Record::EndpointUpdate { kind: ListKind::Cached, list: 0 });
}

#[test]
fn attempt_end_with_load_report_is_decoded() {
    let frame = batch(
        &[
            "0b 0300",
            "04 c4913a5d9f960500 0000 0a124a07 c32b 01 44480000 01 03 0000e040 52b81e3f 00004040",
        ],
        &[],
    );
    let records = decode(&frame);
    assert_eq!(
        records[1],
        Record::AttemptEnded(AttemptEnd {
            id: RequestId(REQUEST),
            attempt: 0,
            server: ServerId(SERVER),
            outcome: Outcome::Success,
            latency: 18_500,
            finished: true,
            report: LoadReport([7.0, 0.62, 3.0].into_iter().collect()),
        })
    );
}

#[test]
fn peer_message_bytes_are_in_the_tail() {
    let mut reply = Reply::default();
    reply.select_instance(3);
    reply.action(&Action::SendToPeer { peer: lb_sidecar::wire::ALL_PEERS, data: b"hi 7".to_vec() });
    let mut out = Vec::new();
    reply.finish(&mut out);
    let mut expected = bytes("3c000000 02000000");
    expected.extend(record("01 0300", 24));
    expected.extend(record("0a ffffffff 00000000 04000000", 24));
    expected.extend(bytes("68692037"));
    assert_eq!(out, expected);
}

#[test]
fn errors_name_the_problem_and_its_offset() {
    let mut short = batch(&["0b 0300"], &[]);
    short.truncate(30);
    assert_eq!(Batch::new(&short).unwrap_err().at, 0);
    let mut many = batch(&["0b 0300"], &[]);
    many[12] = 9;
    assert_eq!(Batch::new(&many).unwrap_err().at, 12);
    let outside = batch(&["0b 0300", "08 00000000 05000000 02000000"], b"hi");
    let found: Vec<_> = Batch::new(&outside).unwrap().records().collect();
    let error = found[1].as_ref().unwrap_err();
    assert_eq!(error.at, 16 + 40 + 5);
    assert!(error.to_string().contains("outside the tail"), "{error}");
}

#[test]
fn announced_length_alone_allocates_nothing() {
    let mut input: &[u8] = &bytes("ffffffff 0000");
    let mut buf = Vec::new();
    let error = read_frame(&mut input, &mut buf).unwrap_err();
    assert!(error.to_string().contains("input ends at byte 6"), "{error}");
    assert!(buf.capacity() < 1 << 16);
    assert!(!read_frame(&mut [].as_slice(), &mut buf).unwrap());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_give_records_or_an_error(mut data in prop::collection::vec(any::<u8>(), 0..400), fix in any::<bool>()) {
        if fix && data.len() >= 16 {
            let len = (data.len() as u32).to_le_bytes();
            data[..4].copy_from_slice(&len);
            let count = ((data.len() - 16) / 40) as u32;
            data[12..16].copy_from_slice(&count.to_le_bytes());
            for at in (16..data.len()).step_by(40) {
                data[at] %= 13;
            }
        }
        if let Ok(batch) = Batch::new(&data) {
            let records = batch.records().count();
            prop_assert!(records <= data.len() / 40);
        }
    }
}
