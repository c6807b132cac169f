//! Errors of calls to other processes, by whether the request may have been sent.

use quick_error::quick_error;

quick_error! {
    /// A call without a response.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CallError {
        /// The peer can't have seen the request.
        NotSent(why: String) { display("not sent: {why}") }
        /// The peer may have seen the request, and may still process it.
        MaybeSent(why: String) { display("may have been sent: {why}") }
    }
}
