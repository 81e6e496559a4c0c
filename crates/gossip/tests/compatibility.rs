//! Notes as version 0.2.0 wrote them: what reads and writes notes now reads each, and writes the same bytes.

use std::path::{Path, PathBuf};

use gossip::{Carries, Note, Presence, Record, Tier};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// The bytes of a fixture; they are written as hexadecimal digits, a note on each line.
fn lines(name: &str) -> Vec<Vec<u8>> {
    let text = std::fs::read_to_string(fixture(name)).expect("a fixture");
    let byte = |at: usize, line: &str| u8::from_str_radix(&line[at..at + 2], 16).expect("digits");
    text.lines().map(|l| (0..l.len()).step_by(2).map(|at| byte(at, l)).collect()).collect()
}

fn estimate() -> Note {
    Note {
        incarnation: 0x0102_0304,
        to: 0,
        number: 1,
        echo: 0,
        version: 0,
        shape: 0xbeef,
        carries: Carries::Estimate,
        values: vec![1.0, 250.5, 0.25, 0.0, 3.5, 120.0, 7.0, 130.5],
        records: Vec::new(),
    }
}

fn flow() -> Note {
    Note {
        to: 0x0a0b_0c0d,
        number: 70_000,
        echo: 69_999,
        version: 4_000_000_000,
        carries: Carries::Flow,
        values: vec![-0.125, 12.75, -99_999.0, 0.0, 1e-3, -0.0, 1.5, 2.0],
        ..estimate()
    }
}

fn every_record() -> Note {
    let record = |who, incarnation, presence| Record { who, incarnation, presence };
    Note {
        records: vec![
            record(0, 0, Presence::Unknown),
            record(1, 0x1122_3344, Presence::Alive),
            record(258, 7, Presence::Suspect),
            record(65_535, u32::MAX, Presence::Gone),
        ],
        ..flow()
    }
}

fn check(name: &str, note: &Note) {
    let written = lines(name);
    assert_eq!(Note::read(&written[0]).as_ref(), Ok(note), "{name} is read");
    assert_eq!(note.bytes(), written[0], "{name} is written as it was");
}

#[test]
fn an_estimate_is_read_and_written_as_before() {
    check("estimate.hex", &estimate());
}

#[test]
fn a_flow_is_read_and_written_as_before() {
    check("flow.hex", &flow());
}

#[test]
fn a_note_with_every_kind_of_record_is_read_and_written_as_before() {
    check("records.hex", &every_record());
}

/// Two members of a tier of three from their first notes on. The third, which is never there, is asked now and then.
fn conversation() -> Vec<Vec<u8>> {
    let config = |me| gossip::Config {
        me,
        size: 3,
        start_ms: 1_790_000_000_000 + 1000 * u64::from(me),
        turn: 100_000,
        clubs: (0x1234, vec![30.0, 5.0]),
        classes: 2,
        seed: 11,
    };
    let mut members: Vec<Tier> =
        (0..2).map(|me| Tier::new(config(me), 0).expect("a sound configuration")).collect();
    let mut notes = Vec::new();
    for step in 0..12_000_u64 {
        let now = step * 1_000;
        for me in 0..2 {
            if step % 10 == me as u64 {
                members[me].asked(me, me, now);
                members[me].happened(gossip::Happened::Attempt, now);
            }
            let Some((to, data)) = members[me].turn(now) else { continue };
            notes.push(data.clone());
            if to == 2 {
                continue;
            }
            if let Some(answer) = members[to as usize].hear(me as u32, &data, now) {
                members[me].hear(to, &answer, now);
                notes.push(answer);
            }
        }
    }
    notes
}

#[test]
fn two_members_say_to_one_another_what_they_said_before() {
    let before = lines("conversation.hex");
    let now = conversation();
    assert_eq!(now.len(), before.len());
    for (n, (now, before)) in now.iter().zip(&before).enumerate() {
        assert_eq!(now, before, "note {n}");
        let read = Note::read(before).expect("a note");
        assert_eq!(&read.bytes(), before, "note {n}");
    }
}
