//! End-to-end tests with daemon processes, whose connections to each other, to members and to the
//! platform pass through fault-injecting proxies, and tests of the decision logic without input and
//! output.

mod decisions;
mod harness;

mod keys;
mod operations;
mod rates;
mod reads;
mod replies;
mod requests;
mod sessions;
mod writes;
