//! Faults and changes of a small fleet, one in each test.

mod daemon;
mod instances;
mod rollouts;
mod support;
