//! The decisions, driven through long random schedules without input and output.

mod charts;
mod classification;
mod elections;
mod limits;
mod settings;
mod versions;
