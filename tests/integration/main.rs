//! Tests of the whole system: real daemon processes behind fault-injecting proxies.

mod harness;

mod reads;
mod writes;
