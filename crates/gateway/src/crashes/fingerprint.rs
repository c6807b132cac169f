//! The fingerprint of a request.

use crate::serve::Call;
use resilience::Fingerprint;

/// Hashes what a request asks for and who asks: method, host, path with query, tenant
/// and body. The tenant's key is no part of it: hashes are logged.
pub fn fingerprint(call: &Call) -> Fingerprint {
    let path = call.path.path_and_query().map_or("", |p| p.as_str());
    let parts = [
        call.method.as_str().as_bytes(),
        call.incoming.host.as_bytes(),
        path.as_bytes(),
        call.tenant_name().unwrap_or_default().as_bytes(),
        &call.body,
    ];
    Fingerprint::of(parts)
}
