//! Admission control and the order of the statements that wait for a slot of a service's members.
//! It does no I/O.
//!
//! In a service whose routes have several priorities (levels), the level decides under overload:
//! [`wait_queue::WaitQueue`] refuses statements that cannot meet their objective, orders the others
//! by level, and within a level fairly by tenant. The waits are estimated from the measured costs
//! of the waiting statements and the present speed of the members ([`capacity::Capacity`]).

pub mod admission_rules;
pub mod capacity;
pub mod level_counters;
pub mod refusal;
pub mod refusal_log;
pub mod slot_class;
pub mod wait_queue;
pub mod waiting_statement;

mod fair_shares;
mod level_queue;
mod rank;
mod slot_overhead;
mod work;
mod work_rate;
