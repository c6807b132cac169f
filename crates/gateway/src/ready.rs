//! Endpoints for the balancer's readiness check and for metrics.

use crate::StartError;
use crate::state::Gateway;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use net::server::bind;
use net::{Body, HeadLimits, Protocol, Server, Stop, full};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Path of the readiness check.
const READY_PATH: &str = "/readyz";
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Maximum size of a request head.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Maximum idle time of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves readiness and metrics until the process ends.
pub fn serve(gateway: &Arc<Gateway>, addr: SocketAddr) -> Result<(), StartError> {
    let listener = bind(addr).map_err(|e| StartError::Bind(addr, e))?;
    let server = Server {
        head: HeadLimits::new(IDLE_TIMEOUT, MAX_HEAD_BYTES),
        protocol: Protocol::Http1,
        drain: Stop::default(),
        stop: Stop::default(),
    };
    let gateway = gateway.clone();
    tokio::spawn(server.run(listener, move |req| {
        let res = answer(&gateway, &req);
        async move { res }
    }));
    Ok(())
}

fn answer(gateway: &Gateway, req: &Request<Incoming>) -> Response<Body> {
    let (status, text) = match req.uri().path() {
        READY_PATH if gateway.is_ready() => (StatusCode::OK, Vec::new()),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
        METRICS_PATH => {
            let metrics = &gateway.metrics;
            metrics.set_control_bytes("store", gateway.store_bytes.bytes());
            metrics.set_control_bytes("peers", gateway.peer_bytes.bytes());
            metrics.set_control_bytes("upstreams", gateway.upstream_bytes.bytes());
            metrics.set_buffered_bytes(gateway.buffer_budget.used());
            for (labels, count) in gateway.store_calls.counts() {
                metrics.set_store_calls(
                    labels.table,
                    labels.kind.name(),
                    labels.outcome.name(),
                    count,
                );
            }
            (StatusCode::OK, metrics.encode())
        }
        _ => (StatusCode::NOT_FOUND, Vec::new()),
    };
    let mut res = Response::new(full(text));
    *res.status_mut() = status;
    res
}
