//! Tests of the whole system: real daemon processes behind fault-injecting proxies.

mod decisions;
mod harness;

mod keys;
mod operations;
mod rates;
mod reads;
mod sessions;
mod writes;
