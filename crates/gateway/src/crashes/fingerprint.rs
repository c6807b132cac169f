//! Fingerprints of requests.

use crate::serve::Call;
use resilience::Fingerprint;

/// Hashes method, host, path with query, tenant and body of a request. The tenant's API key is
/// excluded, as fingerprints are logged.
pub fn fingerprint(call: &Call) -> Fingerprint {
    let path = call.path.path_and_query().map_or("", |p| p.as_str());
    let parts = [
        call.method.as_str().as_bytes(),
        call.parsed_headers.host.as_bytes(),
        path.as_bytes(),
        call.tenant_name().unwrap_or_default().as_bytes(),
        &call.body,
    ];
    Fingerprint::of(parts)
}
