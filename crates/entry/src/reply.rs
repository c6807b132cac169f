//! Functions shared by all responses to callers.

use hyper::Response;
use hyper::header::HeaderValue;
use net::Body;
use wire::RequestId;

/// Header with the request id.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Sets the request id header of a response.
pub fn set_request_id(res: &mut Response<Body>, id: RequestId) {
    let value = HeaderValue::try_from(id.to_string()).expect("hex digits are valid in a header");
    res.headers_mut().insert(REQUEST_ID_HEADER, value);
}
