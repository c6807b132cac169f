//! Datagrams between processes for quotas.

use serde::{Deserialize, Serialize};
use std::net::IpAddr;

/// A datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A grantor requests the share of a host of its zone.
    Collect(Collect),
    /// Answer to `Collect` if the share is lent.
    Lend(Lend),
    /// A grantor asks a host of another zone for that zone's grantor.
    Seek,
    /// Answer to `Seek`.
    Grantor {
        /// Address of the grantor; `None` if it isn't known.
        ip: Option<IpAddr>,
    },
    /// A host asks for units for a request.
    Spend(Spend),
    /// Answer to `Spend`: the units are granted.
    Granted {
        /// Number of the query.
        number: u64,
    },
    /// Answer to `Spend`: too few units are left.
    Refused(Refused),
    /// Answer to `Spend`: the grantor doesn't know the tenant.
    UnknownTenant {
        /// Number of the query.
        number: u64,
    },
    /// Refunds a grant that wasn't used.
    Refund {
        /// Number of the query.
        number: u64,
    },
    /// A host asks for a request within the limit of an upstream. Answered as `Spend`; processes of
    /// earlier versions don't answer.
    SpendRequest(SpendRequest),
}

/// A grantor's request for a share.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Collect {
    /// Identifier of the round.
    pub round: u64,
    /// Duration of the lease in milliseconds; 0 returns the share to the lender.
    pub lease_ms: u32,
    /// CPU share of the grantor, in thousandths of a core.
    pub cpu: u32,
    /// Grantors of other zones.
    pub grantors: Vec<IpAddr>,
}

/// A share lent to a grantor.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Lend {
    /// Round of the request.
    pub round: u64,
    /// Fraction of every limit.
    pub share: f64,
}

/// A query for units.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spend {
    /// Number of the query, repeated in the answer.
    pub number: u64,
    /// Hash of the tenant's name.
    pub tenant: u64,
    /// Cost of the request, in units.
    pub cost: u32,
}

/// A query for a request to an upstream that names a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendRequest {
    /// Number of the query, repeated in the answer.
    pub number: u64,
    /// Tag of the upstream's start.
    pub upstream: u32,
    /// Limit as known to the sender, in thousandths of requests per second.
    pub rate: u32,
    /// Part of the limit's bucket that must remain for more urgent requests.
    pub reserve_percent: u8,
}

/// Refusal of a query.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Refused {
    /// Number of the query.
    pub number: u64,
    /// Time until there are enough units, in milliseconds.
    pub wait_ms: u32,
    /// Units left for the tenant.
    pub left: f64,
    /// Fraction of every limit that the grantor holds.
    pub share: f64,
}
