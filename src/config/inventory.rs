//! The inventory and its rules, in the form of the operators' file.

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

/// The content of an inventory file.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    /// Organisations that may call.
    #[serde(default)]
    pub organisations: Vec<Organisation>,
    /// Models with their versions.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Services behind the routes or `/app/NAME/...`.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Routes for requests that the gateway forwards by host and path, without parsing the body.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Keys with which upstreams authenticate their announcements.
    #[serde(default)]
    pub upstream_keys: Vec<UpstreamKey>,
    /// Settings that hold for all of the inventory.
    #[serde(default)]
    pub rules: Rules,
}

/// An organisation that calls the API.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Unique name.
    pub name: Name,
    /// SHA-256 hash of each of its API keys.
    pub key_sha256: Vec<KeyHash>,
    /// Weight of its requests against other organisations' in a contended pool.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Priority rank of its requests; 0 is served first.
    #[serde(default)]
    pub rank: u32,
    /// Lowest mean quality of its responses, 0 to 1, where a request sets none.
    pub quality_target: f64,
    /// Models (`name`), versions (`name@version`) and services that it may use.
    pub allowed: Vec<Name>,
    /// Regions in which its requests may run; empty for any.
    #[serde(default)]
    pub regions: Vec<Name>,
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
    /// Price of 1000 prompt tokens.
    pub cost_in: f64,
    /// Price of 1000 generated tokens.
    pub cost_out: f64,
    /// Quality that is assumed before the first rating, 0 to 1.
    #[serde(default = "default_quality")]
    pub quality: f64,
    /// Whether it accepts requests.
    #[serde(default)]
    pub state: VersionState,
}

/// Whether a version accepts requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VersionState {
    /// Accepts requests.
    #[default]
    Active,
    /// Accepts requests only through a rollout or where the request names the version.
    Candidate,
    /// Accepts no new requests.
    Withdrawn,
}

/// A service behind the routes or `/app/NAME/...`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name; callers use it in `/app/NAME/...`.
    pub name: Name,
    /// Calls that must run at most once, as `METHOD /path/prefix`.
    #[serde(default)]
    pub not_repeatable: Vec<Name>,
    /// Most connections that one upstream accepts from all callers together; 0 for no known limit.
    #[serde(default)]
    pub connections: u32,
    /// Capacity and models of its engines; `None` for a plain service.
    #[serde(default)]
    pub engine: Option<EngineSpec>,
    /// Requests a second that a cold upstream tolerates from all gateways together; 0 for no limit.
    #[serde(default)]
    pub cold_per_s: f64,
    /// How long an upstream is cold after a start, in milliseconds; 0 if it starts warm. It is
    /// validated and has no further effect: how long an upstream is cold is what it reports. A
    /// longer period is obeyed as reported, because ignoring a part of it could crash the upstream.
    #[serde(default)]
    pub cold_start_ms: u64,
}

/// Capacity and models of a service's engines.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Most requests in one batch of an engine.
    pub slots: u32,
    /// Capacity of the KV cache in tokens, shared by running requests and cached prefixes.
    pub cache_tokens: u64,
    /// Models that it serves.
    pub models: Vec<ModelCost>,
}

/// Cost of a model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelCost {
    /// Name of the model.
    pub name: Name,
    /// Cost of 1000 generated tokens.
    pub cost: f64,
}

/// A key with which upstreams authenticate their announcements.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamKey {
    /// Unique name, for the logs.
    pub name: Name,
    /// SHA-256 hash of the key.
    pub key_sha256: KeyHash,
}

/// Settings that hold for all of the inventory.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Idle time after which a session's pin is dropped, in seconds.
    pub session_idle_s: u64,
    /// Time for which an `Idempotency-Key` is remembered, in seconds.
    pub idempotency_key_s: u64,
    /// Longest wait in an entry's queue, in milliseconds.
    pub queue_ms: u64,
    /// Most requests that a new version gets before there is evidence that it is about as good as
    /// the others.
    pub exposure_budget: u64,
    /// Share of responses that are rated, 0 to 1.
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
    /// Name of the model.
    pub model: Name,
    /// Name of the version within the model.
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
            .ok_or_else(|| format!("`{text}` is not a version; write `model@version`"))?;
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
    /// Returns the version called `name`.
    pub fn version(&self, name: &VersionName) -> Option<&Version> {
        let model = self.models.iter().find(|model| model.name == name.model)?;
        model
            .versions
            .iter()
            .find(|version| version.name == name.version)
    }

    /// Iterates over the versions of all models, with their full names.
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

    /// Returns the organisation with the API key `key`. All hashes are compared, so that the time
    /// taken does not depend on which one matches.
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

    /// Returns the organisation called `name`.
    pub fn organisation(&self, name: &str) -> Option<&Organisation> {
        self.organisations
            .iter()
            .find(|organisation| &*organisation.name == name)
    }

    /// Returns whether `key` is one of the upstream keys; compares all hashes.
    pub fn is_upstream_key(&self, key: &str) -> bool {
        let hash = KeyHash::of(key);
        self.upstream_keys.iter().fold(false, |found, known| {
            known.key_sha256.matches(&hash) | found
        })
    }

    /// Returns the service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }
}

impl Organisation {
    /// Returns whether it may use that version, by the model's name or the version's full name.
    pub fn allows_version(&self, name: &VersionName) -> bool {
        self.allowed.iter().any(|allowed| {
            **allowed == *name.model
                || allowed.split_once('@').is_some_and(|(model, version)| {
                    model == &*name.model && version == &*name.version
                })
        })
    }

    /// Returns whether it may use that service.
    pub fn allows_service(&self, service: &str) -> bool {
        self.allowed.iter().any(|allowed| &**allowed == service)
    }
}

impl Service {
    /// Returns whether a call matches `not_repeatable` and so must run at most once.
    pub fn runs_at_most_once(&self, method: &str, path: &str) -> bool {
        self.not_repeatable.iter().any(|rule| {
            rule.split_once(' ')
                .is_some_and(|(verb, prefix)| verb == method && path.starts_with(prefix))
        })
    }
}
