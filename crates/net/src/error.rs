//! Why a call to another process failed, by what it may have done.

use quick_error::quick_error;

quick_error! {
    /// A call that got no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CallError {
        /// The other side can't have seen the request.
        NotSent(why: String) { display("not sent: {why}") }
        /// The other side may have seen the request, and may yet act on it.
        MaybeSent(why: String) { display("may have been sent: {why}") }
    }
}
