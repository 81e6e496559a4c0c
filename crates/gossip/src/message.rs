//! The gossip message and its encoding as a datagram. All numbers are little-endian.
//!
//! | bytes | |
//! | --- | --- |
//! | 0 | 0xb7: marks a gossip message |
//! | 1 | version, 1 |
//! | 2..6 | checksum of all bytes that follow it (CRC-32) |
//! | 6..10, 10..14 | incarnations: the sender's, and the receiver's as the sender knows it |
//! | 14..18, 18..22 | sequence number on this link, and the last one received in the other direction |
//! | 22..26 | version of the flow |
//! | 26..28 | schema of the values: a hash of the names of tenants and classes |
//! | 28 | bit 0: the values are the flow, otherwise the estimate |
//! | 29, 30 | number of values and of member records |
//! | then | values, 4 bytes each (f32) |
//! | then | member records, 7 bytes each: member (2), incarnation (4), state (1) |
//!
//! A later version may append fields. A reader decodes the fields that it knows and ignores the rest.

use thiserror::Error;

use crate::membership::{MemberRecord, MemberState};

/// Maximum length of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// Maximum number of tenants whose demand is shared: the first ones in the settings.
pub const MAX_TENANTS: usize = 20;
/// Maximum number of request classes whose demand is shared: the first ones in the settings.
pub const MAX_CLASSES: usize = 8;
/// Number of values before those of tenants. After the tenants' values come the retryable failures and the values of
/// classes.
pub const FIXED_VALUES: usize = 5;
/// Maximum number of values in a message.
pub const MAX_VALUES: usize = FIXED_VALUES + MAX_TENANTS + 1 + MAX_CLASSES;

/// First byte of every gossip message.
const MAGIC: u8 = 0xb7;
const VERSION: u8 = 1;
const HEADER_BYTES: usize = 31;
const VALUE_BYTES: usize = 4;
const RECORD_BYTES: usize = 7;
/// End of the checksum field and start of the bytes that it covers.
const CHECKSUM_END: usize = 6;

/// The meaning of the values in a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Payload {
    /// The sender's estimate of the mean over all members.
    Estimate,
    /// The flow from the sender to the receiver.
    Flow,
}

/// A gossip message.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Incarnation of the sender.
    pub incarnation: u32,
    /// Incarnation of the receiver as known to the sender; 0 if unknown.
    pub receiver_incarnation: u32,
    /// Sequence number on this link, which increases within an incarnation.
    pub sequence: u32,
    /// Last sequence number received in the other direction; 0 for none.
    pub acknowledged: u32,
    /// Version of the flow.
    pub flow_version: u32,
    /// Schema of the values: a hash of the names of tenants and classes.
    pub schema: u16,
    /// Whether the values are an estimate or a flow.
    pub payload: Payload,
    /// Values in the order of the layout.
    pub values: Vec<f32>,
    /// Records of some members.
    pub records: Vec<MemberRecord>,
}

/// The reason why a datagram could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The datagram belongs to another protocol.
    #[error("not a gossip message")]
    ForeignProtocol,
    /// The message is shorter than its counts of values and records require.
    #[error("the message is truncated")]
    Truncated,
    /// The checksum does not match.
    #[error("the checksum does not match")]
    Corrupt,
}

impl Message {
    /// Returns the number of member records that fit into a message with this many values.
    pub fn record_capacity(value_count: usize) -> usize {
        (MAX_MESSAGE_BYTES - HEADER_BYTES).saturating_sub(VALUE_BYTES * value_count) / RECORD_BYTES
    }

    /// Returns whether the first byte of a datagram marks it as a gossip message.
    pub fn has_magic(data: &[u8]) -> bool {
        data.first() == Some(&MAGIC)
    }

    /// Encodes the message. Values and records that exceed the maximum length are omitted.
    pub fn encode(&self) -> Vec<u8> {
        let values = &self.values[..self.values.len().min(MAX_VALUES)];
        let capacity = Message::record_capacity(values.len());
        let records = &self.records[..self.records.len().min(capacity)];
        let mut data = vec![MAGIC, VERSION, 0, 0, 0, 0];
        for number in [
            self.incarnation,
            self.receiver_incarnation,
            self.sequence,
            self.acknowledged,
            self.flow_version,
        ] {
            data.extend(number.to_le_bytes());
        }
        data.extend(self.schema.to_le_bytes());
        data.push(u8::from(self.payload == Payload::Flow));
        data.extend([values.len() as u8, records.len() as u8]);
        values.iter().for_each(|value| data.extend(value.to_le_bytes()));
        records.iter().for_each(|record| encode_record(record, &mut data));
        let checksum = crc32fast::hash(&data[CHECKSUM_END..]);
        data[2..CHECKSUM_END].copy_from_slice(&checksum.to_le_bytes());
        data
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is not a valid gossip message.
    pub fn decode(data: &[u8]) -> Result<Message, DecodeError> {
        if data.first() != Some(&MAGIC) {
            return Err(DecodeError::ForeignProtocol);
        }
        let header = data.get(..HEADER_BYTES).ok_or(DecodeError::Truncated)?;
        // Version 0 was never in use; all later versions start with the same fields.
        if header[1] == 0 {
            return Err(DecodeError::ForeignProtocol);
        }
        if crc32fast::hash(&data[CHECKSUM_END..]) != u32_at(data, 2) {
            return Err(DecodeError::Corrupt);
        }
        let (value_count, record_count) = (usize::from(header[29]), usize::from(header[30]));
        let values_end = HEADER_BYTES + VALUE_BYTES * value_count;
        let records_end = values_end + RECORD_BYTES * record_count;
        let values = data.get(HEADER_BYTES..values_end).ok_or(DecodeError::Truncated)?;
        let records = data.get(values_end..records_end).ok_or(DecodeError::Truncated)?;
        Ok(Message {
            incarnation: u32_at(data, 6),
            receiver_incarnation: u32_at(data, 10),
            sequence: u32_at(data, 14),
            acknowledged: u32_at(data, 18),
            flow_version: u32_at(data, 22),
            schema: u16::from_le_bytes([header[26], header[27]]),
            payload: if header[28] & 1 == 1 { Payload::Flow } else { Payload::Estimate },
            values: values
                .chunks_exact(VALUE_BYTES)
                .map(|bytes| f32::from_bits(u32_at(bytes, 0)))
                .collect(),
            records: records.chunks_exact(RECORD_BYTES).filter_map(decode_record).collect(),
        })
    }
}

fn encode_record(record: &MemberRecord, data: &mut Vec<u8>) {
    data.extend(record.member.to_le_bytes());
    data.extend(record.incarnation.to_le_bytes());
    data.push(record.state as u8);
}

/// Decodes one record; `None` if its state is only known to a later version.
fn decode_record(bytes: &[u8]) -> Option<MemberRecord> {
    Some(MemberRecord {
        member: u16::from_le_bytes([bytes[0], bytes[1]]),
        incarnation: u32_at(bytes, 2),
        state: MemberState::from_code(bytes[6])?,
    })
}

fn u32_at(data: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([data[at], data[at + 1], data[at + 2], data[at + 3]])
}

#[cfg(test)]
mod tests;
