//! Database groups as seen by a daemon: what their members hold, who is primary, and how a request
//! gets a connection.

pub mod access;
pub mod fair_queue;
pub mod group_home;
pub mod home_access;
pub mod lane;
pub use snipehead_core::log_position;
pub mod member_connection;
pub mod member_control;
pub mod member_lane;
pub mod member_status;
pub mod prober;
pub mod quorum;
pub mod slot_pool;
pub mod sql_member_control;
