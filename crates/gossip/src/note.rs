//! Notes as they stand in datagrams. All numbers are little-endian.
//!
//! | bytes | |
//! | --- | --- |
//! | 0 | 0xb7: a note of a tier |
//! | 1 | version, 1 |
//! | 2..6 | checksum of all that follows (CRC-32) |
//! | 6..10, 10..14 | incarnations: the sender's, and the receiver's as the sender knows it |
//! | 14..18, 18..22 | the note's number on its link, and the last that came the other way |
//! | 22..26 | the flow's version |
//! | 26..28 | what the values mean: a hash of the clubs' names |
//! | 28 | bit 0: the values are the flow, else the estimate |
//! | 29, 30 | counts of values and of records |
//! | then | values, 4 bytes each (f32) |
//! | then | records, 7 bytes each: number (2), incarnation (4), presence (1) |
//!
//! A later version may add behind. A reader takes what it knows and passes over the rest.

use crate::members::{Presence, Record};

/// The longest note.
pub const LONGEST: usize = 256;
/// Clubs whose traffic is shared; of more, those that come first in the settings.
pub const MOST_CLUBS: usize = 20;
/// Classes whose traffic is shared, the same way.
pub const MOST_CLASSES: usize = 8;
/// Values before those of clubs; behind these come one more, and those of classes.
pub const PLAIN: usize = 5;
/// The most values.
pub const MOST_VALUES: usize = PLAIN + MOST_CLUBS + 1 + MOST_CLASSES;

const MARK: u8 = 0xb7;
const VERSION: u8 = 1;
const HEAD: usize = 31;
const RECORD: usize = 7;

/// What a note's values are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Carries {
    /// What the sender takes the mean to be.
    Estimate,
    /// What has flowed from the sender to the receiver.
    Flow,
}

/// A note.
#[derive(Clone, Debug, PartialEq)]
pub struct Note {
    /// The sender's.
    pub incarnation: u32,
    /// The receiver's, as the sender knows it; 0: not at all.
    pub to: u32,
    /// Its number on its link.
    pub number: u32,
    /// The last number that came the other way; 0: none.
    pub echo: u32,
    /// The flow's version.
    pub version: u32,
    /// What the values mean.
    pub shape: u16,
    /// What they are.
    pub carries: Carries,
    /// The values.
    pub values: Vec<f32>,
    /// Who is there.
    pub records: Vec<Record>,
}

/// Why a datagram is no note.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Of something else.
    Foreign,
    /// Shorter than it says.
    Short,
    /// Another byte than was sent.
    Spoilt,
}

impl Note {
    /// How many records have room beside so many values.
    pub fn room(values: usize) -> usize {
        (LONGEST - HEAD).saturating_sub(4 * values) / RECORD
    }

    /// Whether a datagram claims to be one of a tier's.
    pub fn is_one(data: &[u8]) -> bool {
        data.first() == Some(&MARK)
    }

    /// As it is sent. What has no room is left out.
    pub fn bytes(&self) -> Vec<u8> {
        let values = &self.values[..self.values.len().min(MOST_VALUES)];
        let records = &self.records[..self.records.len().min(Note::room(values.len()))];
        let mut data = vec![MARK, VERSION, 0, 0, 0, 0];
        for n in [self.incarnation, self.to, self.number, self.echo, self.version] {
            data.extend(n.to_le_bytes());
        }
        data.extend(self.shape.to_le_bytes());
        data.push(u8::from(self.carries == Carries::Flow));
        data.extend([values.len() as u8, records.len() as u8]);
        values.iter().for_each(|v| data.extend(v.to_le_bytes()));
        for record in records {
            data.extend(record.who.to_le_bytes());
            data.extend(record.incarnation.to_le_bytes());
            data.push(record.presence as u8);
        }
        let sum = crc32fast::hash(&data[6..]);
        data[2..6].copy_from_slice(&sum.to_le_bytes());
        data
    }

    /// Reads one.
    ///
    /// # Errors
    ///
    /// Why it is none.
    pub fn read(data: &[u8]) -> Result<Note, Refused> {
        if data.first() != Some(&MARK) {
            return Err(Refused::Foreign);
        }
        let head = data.get(..HEAD).ok_or(Refused::Short)?;
        // Version 0 was never sent; any later one begins in the same way.
        if head[1] == 0 {
            return Err(Refused::Foreign);
        }
        if crc32fast::hash(&data[6..]) != u32_at(data, 2) {
            return Err(Refused::Spoilt);
        }
        let (values, records) = (usize::from(head[29]), usize::from(head[30]));
        let (from, to) = (HEAD + 4 * values, HEAD + 4 * values + RECORD * records);
        let body = data.get(HEAD..from).ok_or(Refused::Short)?;
        let listed = data.get(from..to).ok_or(Refused::Short)?;
        let value = |v: &[u8]| f32::from_bits(u32_at(v, 0));
        let record = |r: &[u8]| {
            let who = u16::from_le_bytes([r[0], r[1]]);
            Some(Record { who, incarnation: u32_at(r, 2), presence: Presence::of(r[6])? })
        };
        Ok(Note {
            incarnation: u32_at(data, 6),
            to: u32_at(data, 10),
            number: u32_at(data, 14),
            echo: u32_at(data, 18),
            version: u32_at(data, 22),
            shape: u16::from_le_bytes([head[26], head[27]]),
            carries: if head[28] & 1 == 1 { Carries::Flow } else { Carries::Estimate },
            values: body.chunks_exact(4).map(value).collect(),
            // A presence that a later version has is passed over.
            records: listed.chunks_exact(RECORD).filter_map(record).collect(),
        })
    }
}

fn u32_at(data: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([data[at], data[at + 1], data[at + 2], data[at + 3]])
}

#[cfg(test)]
mod tests {
    use super::*;

    fn note() -> Note {
        let record = |who| Record { who, incarnation: 9, presence: Presence::Suspect };
        Note {
            incarnation: 1,
            to: 2,
            number: 3,
            echo: 4,
            version: 5,
            shape: 6,
            carries: Carries::Flow,
            values: vec![0.5, -1.25, 3e5],
            records: (0..4).map(record).collect(),
        }
    }

    #[test]
    fn what_is_written_is_read_and_every_spoilt_byte_is_seen() {
        let data = note().bytes();
        assert_eq!(Note::read(&data), Ok(note()));
        for at in 0..data.len() {
            for by in [2, 0x80] {
                let mut spoilt = data.clone();
                spoilt[at] ^= by;
                // The version alone stands before the checksum: a later one is read.
                assert_eq!(Note::read(&spoilt).is_ok(), at == 1, "byte {at}");
            }
            assert!(Note::read(&data[..at]).is_err(), "cut at {at}");
        }
    }

    #[test]
    fn a_later_version_is_read_as_far_as_it_is_known() {
        let mut data = note().bytes();
        data[1] = 2;
        // Behind, and in a record's presence, something that this version does not know.
        let last = data.len() - 1;
        data[last] = 200;
        data.extend([1, 2, 3]);
        let sum = crc32fast::hash(&data[6..]);
        data[2..6].copy_from_slice(&sum.to_le_bytes());
        let read = Note::read(&data).expect("it is one");
        assert_eq!((read.values, read.records.len()), (note().values, 3));
    }

    #[test]
    fn the_longest_note_fits_and_counts_that_lie_are_seen() {
        let record = Record { who: 1, incarnation: 1, presence: Presence::Alive };
        let full = Note { values: vec![1.0; 60], records: vec![record; 99], ..note() };
        let data = full.bytes();
        assert!(data.len() <= LONGEST, "{}", data.len());
        assert_eq!(Note::read(&data).expect("whole").values.len(), MOST_VALUES);
        let mut lies = note().bytes();
        lies[30] = 255;
        let sum = crc32fast::hash(&lies[6..]);
        lies[2..6].copy_from_slice(&sum.to_le_bytes());
        assert_eq!(Note::read(&lies), Err(Refused::Short));
    }
}
