//! A hash over inputs and outputs in the form in which they are sent or stored, with their virtual times.

use config_distribution::Generation;
use config_distribution::origin::PublishError;
use serde::Serialize;

/// An FNV-1a hash over JSON texts.
#[derive(Clone, Copy)]
pub struct BehaviorHash(pub u64);

impl Default for BehaviorHash {
    fn default() -> BehaviorHash {
        BehaviorHash(0xcbf2_9ce4_8422_2325)
    }
}

impl BehaviorHash {
    /// Adds a value as JSON.
    pub fn add(&mut self, value: &impl Serialize) {
        let text = serde_json::to_vec(value).expect("the value can be written as JSON");
        for byte in text.into_iter().chain([0]) {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// Converts the result of a publication to the form that is hashed. Retryable and permanent failures differ.
pub fn publish_outcome(result: Result<Generation, PublishError>) -> (u8, Generation, String) {
    match result {
        Ok(generation) => (0, generation, String::new()),
        Err(error) if error.is_retryable() => (1, 0, error.to_string()),
        Err(error) => (2, 0, error.to_string()),
    }
}
