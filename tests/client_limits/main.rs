//! Tests of the daemon of the PostgreSQL mode as a process under clients that nobody controls. They are
//! a target of their own, because their load would disturb tests that depend on time.

mod caller_crowds;
#[path = "../integration/harness"]
#[allow(dead_code, reason = "the harness is shared with the integration tests")]
mod harness {
    pub mod cluster;
    pub mod daemon_process;
    pub mod sql_client;
}
