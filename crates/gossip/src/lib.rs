//! What the sidecars of a tier know together: who of them is there, how much each club asks of all, and what may
//! still be spent of its quota. Time, notes and what happens here go in; notes and a view come out. No I/O, no
//! clock but the one passed in, the same from the same seed.
//!
//! `docs/design/tier.md` tells why it is as it is, with sources and the invariant on budgets.

mod leases;
mod links;
mod members;
mod note;
mod rates;
mod rings;
mod tier;

pub use leases::{Demand, Lease, lease, repeats};
pub use members::{Presence, Record};
pub use note::{Carries, LONGEST, MOST_CLASSES, MOST_CLUBS, Note, Refused};
pub use tier::{Budget, ClubView, Config, Happened, Tier, View};

/// Microseconds, on a clock that starts anywhere and never runs backwards.
pub type Micros = u64;

/// The most members of a tier: notes have two bytes for a member's number.
pub const MOST_MEMBERS: u32 = 1 << 16;
