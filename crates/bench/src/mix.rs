//! The users' requests.

use crate::deploy::Deployment;
use fastrand::Rng;

/// A request as a caller makes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// The service.
    pub service: &'static str,
    /// The class.
    pub class: &'static str,
    /// The tenant.
    pub tenant: String,
    /// What is asked for.
    pub what: What,
}

/// What is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum What {
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
        /// The caller's key.
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
    made: u64,
    last_keyed: Option<Ask>,
}

impl Mix {
    /// A mix from a seed.
    pub fn new(deployment: Deployment, seed: u64) -> Self {
        let salt = format!("{}-{seed}", deployment.name());
        Self {
            deployment,
            rng: Rng::with_seed(seed),
            salt,
            made: 0,
            last_keyed: None,
        }
    }

    /// Draws a request.
    pub fn draw(&mut self) -> Ask {
        self.made += 1;
        match (self.deployment, self.rng.u32(..100)) {
            (Deployment::Sleutelbos, 0..35) => self.read("taalmodel-dossier", "dossier", 24_000),
            (Deployment::Sleutelbos, 35..65) => self.write("taalmodel-dossier", "reply", 40..90),
            (Deployment::Sleutelbos, 65..82) => self.lookup("ledenportaal", "/status/"),
            (Deployment::Sleutelbos, _) => self.keyed("ledenportaal", "notice", "/notices"),
            (Deployment::BlueMahoe, 0..35) => self.read("blend-llm", "stock", 20_000),
            (Deployment::BlueMahoe, 35..60) => self.write("blend-llm", "note", 20..50),
            (Deployment::BlueMahoe, 60..75) => self.lookup("shop-api", "/prices/"),
            (Deployment::BlueMahoe, 75..85) => self.keyed("shop-api", "label", "/labels"),
            (Deployment::BlueMahoe, _) => self.keyed("shop-api", "reorder", "/reorders"),
        }
    }

    fn tenant(&mut self) -> String {
        format!("tenant-{:02}", self.rng.u64(..TENANTS))
    }

    fn read(&mut self, service: &'static str, class: &'static str, bytes: usize) -> Ask {
        let dossier = self.rng.u64(..DOSSIERS);
        let mut prompt = String::with_capacity(bytes + 128);
        while prompt.len() < bytes {
            let line = prompt.len();
            prompt.push_str(&format!("{} dossier {dossier} line {line}\n", self.salt));
        }
        prompt.push_str(&format!("question {}: urgent today?", self.made));
        let what = What::Completion {
            prompt,
            tokens: 1,
            chat: false,
            stream: false,
        };
        Ask {
            service,
            class,
            tenant: self.tenant(),
            what,
        }
    }

    fn write(
        &mut self,
        service: &'static str,
        class: &'static str,
        tokens: std::ops::Range<u32>,
    ) -> Ask {
        let prompt = format!(
            "{} letter {}: explain where they stand",
            self.salt, self.made
        );
        let tokens = self.rng.u32(tokens);
        let (chat, stream) = (self.rng.bool(), self.rng.u32(..4) > 0);
        let what = What::Completion {
            prompt,
            tokens,
            chat,
            stream,
        };
        Ask {
            service,
            class,
            tenant: self.tenant(),
            what,
        }
    }

    fn lookup(&mut self, service: &'static str, path: &str) -> Ask {
        let path = format!("{path}{}?of={}", self.rng.u32(..1000), self.salt);
        let what = What::Plain {
            method: "GET",
            path,
            body: String::new(),
            key: None,
        };
        Ask {
            service,
            class: "lookup",
            tenant: self.tenant(),
            what,
        }
    }

    fn keyed(&mut self, service: &'static str, class: &'static str, path: &str) -> Ask {
        if let Some(last) = &self.last_keyed
            && self.rng.u64(..REPEAT_EVERY) == 0
        {
            return last.clone();
        }
        // Some callers give no key: theirs must run at most once all the same.
        let key = (self.rng.u32(..5) > 0).then(|| format!("{}-{}", self.salt, self.made));
        let body = format!("{{\"order\":{},\"of\":\"{}\"}}", self.made, self.salt);
        let what = What::Plain {
            method: "POST",
            path: path.to_owned(),
            body,
            key: key.clone(),
        };
        let ask = Ask {
            service,
            class,
            tenant: self.tenant(),
            what,
        };
        if key.is_some() {
            self.last_keyed = Some(ask.clone());
        }
        ask
    }
}
