//! The users' requests.

use crate::deploy::Deployment;
use fastrand::Rng;

/// A request as a client makes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientRequest {
    /// The service.
    pub service: &'static str,
    /// The class.
    pub class: &'static str,
    /// The tenant.
    pub tenant: String,
    /// RequestKind is asked for.
    pub kind: RequestKind,
}

/// RequestKind is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestKind {
    /// A completion.
    Completion {
        /// The prompt.
        prompt: String,
        /// Tokens wanted.
        tokens: u32,
        /// By the chat form of the API.
        chat: bool,
        /// Streamed.
        stream: bool,
    },
    /// A plain call.
    Plain {
        /// The method.
        method: &'static str,
        /// The path, without the service.
        path: String,
        /// The body.
        body: String,
        /// The client's key.
        key: Option<String>,
    },
}

/// Tenants of the mix.
const TENANTS: u64 = 24;
/// Dossiers and ledgers that are read again and again.
const DOSSIERS: u64 = 40;
/// One in so many non-idempotent calls repeats the key of the one before.
const REPEAT_EVERY: u64 = 12;

/// Draws requests of a deployment.
#[derive(Debug)]
pub struct Mix {
    deployment: Deployment,
    rng: Rng,
    salt: String,
    generated: u64,
    last_keyed: Option<ClientRequest>,
}

impl Mix {
    /// A mix from a seed.
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

    /// Draws a request.
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
        // Some clients give no key: theirs must run at most once all the same.
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
