//! Where the stream of a request began.

use super::{Call, Refusal};
use crate::account::Account;
use crate::answer::Reason;
use crate::origins::{self as known_origins, KnownOrigin};
use origins::{NameHash, Origin};
use platform::BadRequest;

impl Call {
    /// Finds where the stream began that the client takes up, if it does. Fails if that isn't known
    /// for certain, or if the stream can't go on here.
    pub(super) async fn find_origin(&mut self, account: &mut Account) -> Result<(), Refusal> {
        let is_stream = self.target().route.kind.is_stream();
        let resumes = self.parsed_headers.resumes.as_deref();
        if !is_stream || (self.last_event.is_none() && resumes.is_none()) {
            return Ok(());
        }
        if self.last_event.is_none() {
            return Err(Reason::Malformed(BadRequest::Missing("Last-Event-Id")).into());
        }
        let route = self.route_hash();
        let found = known_origins::find(&self.gateway, resumes, self.service, route).await;
        let metrics = &self.gateway.metrics;
        let known = match found {
            Ok(known) => known,
            Err(asked) => {
                metrics.count_stream_origin("unknown");
                known_origins::log_unknown(&self.parsed_headers.id, &asked);
                return Err(Reason::StreamUnknown.into());
            }
        };
        metrics.count_stream_origin(known.source.name());
        self.set_known_origin(account, known)
    }

    /// Makes the request one for the rest of a stream with a known origin.
    fn set_known_origin(
        &mut self,
        account: &mut Account,
        known: KnownOrigin,
    ) -> Result<(), Refusal> {
        let origin = known.origin;
        account.origin = Some(known);
        let shares = &self.target().shares;
        let service = {
            let fleet = self.gateway.fleet();
            let mut services = shares.iter().map(|(service, _)| *service);
            services.find(|service| fleet.info(*service).name_hash() == origin.service)
        };
        let Some(service) = service.filter(|_| origin.route == self.route_hash()) else {
            return Err(Reason::OtherStream.into());
        };
        let fleet = self.gateway.fleet();
        let info = fleet.info(service);
        account.service = Some(info.name.clone());
        account.began_version = fleet
            .version_name(service, origin.version)
            .map(str::to_owned);
        let is_engine = info.engine.is_some();
        drop(fleet);
        self.service = service;
        self.is_engine = is_engine;
        self.origin = Some(origin);
        Ok(())
    }

    /// Records where the stream begins, as its answer starts at an upstream of the given
    /// version. The rest of a stream keeps its origin.
    pub fn begin_stream(&mut self, account: &mut Account, version: NameHash) {
        if self.origin.is_some() {
            known_origins::record_continued(&self.gateway, self.first_attempt());
            return;
        }
        let Some(sent) = account.last_sent_to else {
            return;
        };
        let origin = Origin {
            route: self.route_hash(),
            service: self.gateway.fleet().info(self.service).name_hash(),
            version,
            upstream: sent.tag,
        };
        self.origin = Some(origin);
        account.began_version.clone_from(&account.software_version);
        let deadline = self.parsed_headers.deadline;
        known_origins::record(&self.gateway, &self.parsed_headers.id, origin, deadline);
    }

    /// Records that the stream is complete.
    pub fn end_stream(&self) {
        if self.origin.is_some() {
            known_origins::end_stream(&self.gateway, self.first_attempt());
        }
    }

    /// Whether the origin of the stream is still certain.
    pub(super) fn is_origin_certain(&self) -> bool {
        self.gateway.origins.is_certain(self.first_attempt())
    }

    /// Attempt with which the stream began.
    fn first_attempt(&self) -> &str {
        let headers = &self.parsed_headers;
        headers.resumes.as_deref().unwrap_or(&headers.id)
    }

    fn route_hash(&self) -> NameHash {
        NameHash::of(&self.target().route.name)
    }
}
