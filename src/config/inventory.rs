//! The inventory and its rules, as operators write them.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error as _;

use super::KeyHash;
use super::Route;
use crate::collections::Name;

/// Everything that one file says.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    /// Who may call.
    #[serde(default)]
    pub organisations: Vec<Organisation>,
    /// What they may call.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Plain services beside the models.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Requests that are passed on unread, by host and path.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Keys with which upstreams announce themselves.
    #[serde(default)]
    pub upstream_keys: Vec<UpstreamKey>,
    /// Rules on top.
    #[serde(default)]
    pub rules: Rules,
}

/// An organisation that calls the API.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Unique name.
    pub name: Name,
    /// SHA-256 of each key that it may use.
    pub key_sha256: Vec<KeyHash>,
    /// Share of a contended pool, relative to the others.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Rank of its requests against other organisations'; 0 goes first.
    #[serde(default)]
    pub rank: u32,
    /// Least mean quality of its answers, 0 to 1, unless a request says otherwise.
    pub quality_target: f64,
    /// Models (`name`), versions (`name@version`) and services that it may use.
    pub allowed: Vec<Name>,
}

/// A model with its versions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Unique name.
    pub name: Name,
    /// Its versions.
    pub versions: Vec<Version>,
}

/// One version of a model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Name, unique within the model.
    pub name: Name,
    /// Price of a thousand prompt tokens.
    pub cost_in: f64,
    /// Price of a thousand generated tokens.
    pub cost_out: f64,
    /// Quality expected before any rating is in, 0 to 1.
    #[serde(default = "default_quality")]
    pub quality: f64,
    /// Whether it takes work.
    #[serde(default)]
    pub state: VersionState,
}

/// Whether a version takes work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VersionState {
    /// Takes work.
    #[default]
    Active,
    /// Takes work only through a roll-out, or when it is named.
    Candidate,
    /// Takes no new work.
    Withdrawn,
}

/// A plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name; callers use `/app/NAME/...`.
    pub name: Name,
    /// Calls that must run at most once, as `METHOD /path/prefix`.
    #[serde(default)]
    pub not_repeatable: Vec<Name>,
    /// Connections that one upstream takes from all callers together; 0 where no bound is known.
    #[serde(default)]
    pub connections: u32,
    /// What its model engines can do; `None` for a plain service.
    #[serde(default)]
    pub engine: Option<EngineSpec>,
}

/// What the model engines of a service can do.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that the cache and the running requests share.
    pub cache_tokens: u64,
    /// Models by name, with the cost of a thousand generated tokens.
    pub models: Vec<ModelCost>,
}

/// What a model costs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelCost {
    /// Model.
    pub name: Name,
    /// Cost of a thousand generated tokens.
    pub cost: f64,
}

/// A key with which upstreams announce themselves.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamKey {
    /// Unique name, for the logs.
    pub name: Name,
    /// SHA-256 of the key.
    pub key_sha256: KeyHash,
}

/// Rules on top of the inventory.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Idle time after which a session's pin is dropped, in seconds.
    pub session_idle_s: u64,
    /// How long an `Idempotency-Key` is remembered, in seconds.
    pub idempotency_key_s: u64,
    /// Longest wait in an entry's queue, in milliseconds.
    pub queue_ms: u64,
    /// Most requests that a new version gets before there is evidence for it.
    pub exposure_budget: u64,
    /// Share of answers that are rated, 0 to 1.
    pub rating_share: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            session_idle_s: 3600,
            idempotency_key_s: 86_400,
            queue_ms: 2_000,
            exposure_budget: 200,
            rating_share: 0.1,
        }
    }
}

fn default_weight() -> u32 {
    1
}

fn default_quality() -> f64 {
    0.5
}

/// A model's name with a version's: `name@version`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct VersionName {
    /// Model.
    pub model: Name,
    /// Version within it.
    pub version: Name,
}

impl fmt::Display for VersionName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.model, self.version)
    }
}

impl FromStr for VersionName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (model, version) = text
            .split_once('@')
            .filter(|(model, version)| !model.is_empty() && !version.is_empty())
            .ok_or_else(|| format!("`{text}` is no version; write `model@version`"))?;
        Ok(Self {
            model: model.into(),
            version: version.into(),
        })
    }
}

impl Serialize for VersionName {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for VersionName {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}

impl Inventory {
    /// The version of that name.
    pub fn version(&self, name: &VersionName) -> Option<&Version> {
        let model = self.models.iter().find(|model| model.name == name.model)?;
        model
            .versions
            .iter()
            .find(|version| version.name == name.version)
    }

    /// All versions with their full names.
    pub fn versions(&self) -> impl Iterator<Item = (VersionName, &Version)> + '_ {
        self.models.iter().flat_map(|model| {
            model.versions.iter().map(|version| {
                let name = VersionName {
                    model: model.name.clone(),
                    version: version.name.clone(),
                };
                (name, version)
            })
        })
    }

    /// The organisation that `key` belongs to; every hash is compared, whichever matches.
    pub fn organisation_by_key(&self, key: &str) -> Option<&Organisation> {
        let hash = KeyHash::of(key);
        let mut found = None;
        for organisation in &self.organisations {
            for known in &organisation.key_sha256 {
                if known.matches(&hash) {
                    found = Some(organisation);
                }
            }
        }
        found
    }

    /// The organisation of that name.
    pub fn organisation(&self, name: &str) -> Option<&Organisation> {
        self.organisations
            .iter()
            .find(|organisation| &*organisation.name == name)
    }

    /// Whether `key` is one that upstreams may use.
    pub fn is_upstream_key(&self, key: &str) -> bool {
        let hash = KeyHash::of(key);
        self.upstream_keys.iter().fold(false, |found, known| {
            known.key_sha256.matches(&hash) | found
        })
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }
}

impl Organisation {
    /// Whether it may use that version.
    pub fn allows_version(&self, name: &VersionName) -> bool {
        self.allowed.iter().any(|allowed| {
            **allowed == *name.model
                || allowed.split_once('@').is_some_and(|(model, version)| {
                    model == &*name.model && version == &*name.version
                })
        })
    }

    /// Whether it may use that service.
    pub fn allows_service(&self, service: &str) -> bool {
        self.allowed.iter().any(|allowed| &**allowed == service)
    }
}

impl Service {
    /// Whether a call must run at most once.
    pub fn runs_at_most_once(&self, method: &str, path: &str) -> bool {
        self.not_repeatable.iter().any(|rule| {
            rule.split_once(' ')
                .is_some_and(|(verb, prefix)| verb == method && path.starts_with(prefix))
        })
    }
}
