//! Request records and the reports made from them.
//!
//! Entries and agents write records to the object store in numbered batches. A report joins the
//! records of both by request id and lists missing batches as gaps. Nothing is written to the table
//! service per request.

pub mod record;
pub mod report;
pub mod table;
pub mod writer;

pub use record::{Batch, Record, Side};
pub use report::{Report, read_report};
pub use writer::Recorder;
