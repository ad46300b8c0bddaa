//! Database groups as seen by a daemon: what their members hold, which member is primary, and how a
//! request gets a connection to a member.

pub mod call_replies;
pub mod exclusive_connection;
pub mod fair_queue;
pub mod floor_history;
pub mod group_home;
pub mod local_connection;
pub mod local_provider;
pub use snipehead_core::log_position;
pub mod member_connection;
pub mod member_control;
pub mod member_status;
pub mod out_of_step;
pub mod prober;
pub mod provider_table;
pub mod quorum;
pub mod slot_pool;
pub mod sql_member_control;
pub mod term_end;
