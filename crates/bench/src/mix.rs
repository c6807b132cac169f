//! Random requests that resemble those of the two deployments.

use crate::deploy::Deployment;
use fastrand::Rng;

/// A request of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientRequest {
    /// Name of the service.
    pub service: &'static str,
    /// Request class.
    pub class: &'static str,
    /// Name of the tenant.
    pub tenant: String,
    /// Contents of the request.
    pub kind: RequestKind,
}

/// Contents of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestKind {
    /// A completion by an engine.
    Completion {
        /// Prompt text.
        prompt: String,
        /// Number of requested tokens.
        tokens: u32,
        /// Whether to use the chat endpoint.
        chat: bool,
        /// Whether to stream the answer.
        stream: bool,
    },
    /// A request to a plain service.
    Plain {
        /// HTTP method.
        method: &'static str,
        /// Path, without the service.
        path: String,
        /// Request body.
        body: String,
        /// Idempotency key, if any.
        key: Option<String>,
    },
}

/// Number of tenants.
const TENANTS: u64 = 24;
/// Number of long texts that prompts share as a prefix.
const DOSSIERS: u64 = 40;
/// One in this many non-idempotent requests repeats the previous one that had a key.
const REPEAT_EVERY: u64 = 12;

/// Generates random requests for a deployment.
#[derive(Debug)]
pub struct Mix {
    deployment: Deployment,
    rng: Rng,
    salt: String,
    generated: u64,
    last_keyed: Option<ClientRequest>,
}

impl Mix {
    /// Creates a generator from a seed.
    pub fn new(deployment: Deployment, seed: u64) -> Self {
        let salt = format!("{}-{seed}", deployment.name());
        Self {
            deployment,
            rng: Rng::with_seed(seed),
            salt,
            generated: 0,
            last_keyed: None,
        }
    }

    /// Generates the next request.
    pub fn next_request(&mut self) -> ClientRequest {
        self.generated += 1;
        match (self.deployment, self.rng.u32(..100)) {
            (Deployment::Sleutelbos, 0..35) => {
                self.long_prompt("taalmodel-dossier", "dossier", 24_000)
            }
            (Deployment::Sleutelbos, 35..65) => {
                self.long_answer("taalmodel-dossier", "reply", 40..90)
            }
            (Deployment::Sleutelbos, 65..82) => self.lookup("ledenportaal", "/status/"),
            (Deployment::Sleutelbos, _) => {
                self.non_idempotent("ledenportaal", "notice", "/notices")
            }
            (Deployment::BlueMahoe, 0..35) => self.long_prompt("blend-llm", "stock", 20_000),
            (Deployment::BlueMahoe, 35..60) => self.long_answer("blend-llm", "note", 20..50),
            (Deployment::BlueMahoe, 60..75) => self.lookup("shop-api", "/prices/"),
            (Deployment::BlueMahoe, 75..85) => self.non_idempotent("shop-api", "label", "/labels"),
            (Deployment::BlueMahoe, _) => self.non_idempotent("shop-api", "reorder", "/reorders"),
        }
    }

    fn tenant(&mut self) -> String {
        format!("tenant-{:02}", self.rng.u64(..TENANTS))
    }

    fn long_prompt(
        &mut self,
        service: &'static str,
        class: &'static str,
        bytes: usize,
    ) -> ClientRequest {
        let dossier = self.rng.u64(..DOSSIERS);
        let mut prompt = String::with_capacity(bytes + 128);
        while prompt.len() < bytes {
            let line = prompt.len();
            prompt.push_str(&format!("{} dossier {dossier} line {line}\n", self.salt));
        }
        prompt.push_str(&format!("question {}: urgent today?", self.generated));
        let kind = RequestKind::Completion {
            prompt,
            tokens: 1,
            chat: false,
            stream: false,
        };
        ClientRequest {
            service,
            class,
            tenant: self.tenant(),
            kind,
        }
    }

    fn long_answer(
        &mut self,
        service: &'static str,
        class: &'static str,
        tokens: std::ops::Range<u32>,
    ) -> ClientRequest {
        let prompt = format!(
            "{} letter {}: explain where they stand",
            self.salt, self.generated
        );
        let tokens = self.rng.u32(tokens);
        let (chat, stream) = (self.rng.bool(), self.rng.u32(..4) > 0);
        let kind = RequestKind::Completion {
            prompt,
            tokens,
            chat,
            stream,
        };
        ClientRequest {
            service,
            class,
            tenant: self.tenant(),
            kind,
        }
    }

    fn lookup(&mut self, service: &'static str, path: &str) -> ClientRequest {
        let path = format!("{path}{}?of={}", self.rng.u32(..1000), self.salt);
        let kind = RequestKind::Plain {
            method: "GET",
            path,
            body: String::new(),
            key: None,
        };
        ClientRequest {
            service,
            class: "lookup",
            tenant: self.tenant(),
            kind,
        }
    }

    fn non_idempotent(
        &mut self,
        service: &'static str,
        class: &'static str,
        path: &str,
    ) -> ClientRequest {
        if let Some(last) = &self.last_keyed
            && self.rng.u64(..REPEAT_EVERY) == 0
        {
            return last.clone();
        }
        // Some requests have no key; these must run at most once, too.
        let key = (self.rng.u32(..5) > 0).then(|| format!("{}-{}", self.salt, self.generated));
        let body = format!("{{\"order\":{},\"of\":\"{}\"}}", self.generated, self.salt);
        let kind = RequestKind::Plain {
            method: "POST",
            path: path.to_owned(),
            body,
            key: key.clone(),
        };
        let request = ClientRequest {
            service,
            class,
            tenant: self.tenant(),
            kind,
        };
        if key.is_some() {
            self.last_keyed = Some(request.clone());
        }
        request
    }
}
