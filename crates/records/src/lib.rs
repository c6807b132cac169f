//! Records of what became of each request, and the report made from them.
//!
//! Entries and agents both write records, in numbered batches, to the object
//! store. The report joins both sides by request and states missing batches as
//! gaps. Nothing per request goes to the table service.

pub mod record;
pub mod report;
pub mod table;
pub mod writer;

pub use record::{Batch, Record, Side};
pub use report::{Report, read_report};
pub use writer::Recorder;
