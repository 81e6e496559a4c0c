//! Tests of faults and changes in a small fleet, one per test.

mod daemon;
mod instances;
mod rollouts;
mod support;
