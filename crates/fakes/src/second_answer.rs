//! Responses that a server sends a second time after a delay: their form and time.

use std::ops::Range;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

/// The ranges of the delay of a second response after the first, in milliseconds.
const DELAYS_MS: [Range<u64>; 3] = [1..15, 15..70, 100..400];
/// The number of bytes that a truncated second response lacks.
const MISSING_BYTES: usize = 5;

/// The form of a second response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    /// An exact copy.
    Same,
    /// A copy with an additional header, and so of another length.
    OtherHead,
    /// An interim response, and a copy behind it.
    BehindInterim,
    /// A copy that lacks its last bytes.
    Truncated,
}

const FORMS: [Form; 4] = [Form::Same, Form::OtherHead, Form::BehindInterim, Form::Truncated];

/// The time at which a second response is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    /// This long after the first.
    Later(Duration),
    /// When the next request on the connection has arrived.
    NextRequest,
}

/// The form and the time of a second response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SecondAnswer {
    form: Form,
    /// The time at which it is sent.
    pub when: When,
}

impl SecondAnswer {
    /// Draws a form and a time.
    pub fn draw(rng: &mut impl Rng) -> SecondAnswer {
        let form = *FORMS.choose(rng).unwrap_or(&Form::Same);
        let when = match DELAYS_MS.get(rng.random_range(0..=DELAYS_MS.len())) {
            Some(delays) => When::Later(Duration::from_millis(rng.random_range(delays.clone()))),
            None => When::NextRequest,
        };
        SecondAnswer { form, when }
    }

    /// Returns the second response to the request that got `first`.
    pub fn text(self, first: &[u8]) -> Vec<u8> {
        let end_of_status = first.windows(2).position(|pair| pair == b"\r\n").unwrap_or_default();
        match self.form {
            Form::Same => first.to_vec(),
            Form::OtherHead => {
                let (status, rest) = first.split_at(end_of_status);
                [status, b"\r\nX-Copy: 1", rest].concat()
            }
            Form::BehindInterim => [b"HTTP/1.1 103 Early Hints\r\n\r\n", first].concat(),
            Form::Truncated => first[..first.len().saturating_sub(MISSING_BYTES)].to_vec(),
        }
    }
}
