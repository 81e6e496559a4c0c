//! Answers that a server sends a second time, some time later: what they look like, and when they are sent.

use std::ops::Range;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

/// How long after the first a second answer is sent, in milliseconds: short, longer, long.
const DELAYS_MS: [Range<u64>; 3] = [1..15, 15..70, 100..400];
/// How many bytes a second answer that is cut lacks.
const MISSING_BYTES: usize = 5;

/// What a second answer looks like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    Same,
    /// With a header more, and so of another length.
    OtherHead,
    BehindInterim,
    Cut,
}

const FORMS: [Form; 4] = [Form::Same, Form::OtherHead, Form::BehindInterim, Form::Cut];

/// When a second answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    /// So long after the first.
    Later(Duration),
    /// As the next request on the connection has arrived.
    NextRequest,
}

/// How an answer is sent a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SecondAnswer {
    form: Form,
    /// When it is sent.
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

    /// The second answer to the request that got `first`.
    pub fn text(self, first: &[u8]) -> Vec<u8> {
        let end_of_status = first.windows(2).position(|pair| pair == b"\r\n").unwrap_or_default();
        match self.form {
            Form::Same => first.to_vec(),
            Form::OtherHead => {
                let (status, rest) = first.split_at(end_of_status);
                [status, b"\r\nX-Copy: 1", rest].concat()
            }
            Form::BehindInterim => [b"HTTP/1.1 103 Early Hints\r\n\r\n", first].concat(),
            Form::Cut => first[..first.len().saturating_sub(MISSING_BYTES)].to_vec(),
        }
    }
}
