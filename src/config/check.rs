//! Reads an inventory file and refuses what can't be right, with the place and the remedy.

use std::collections::BTreeSet;

use super::Inventory;
use super::Route;
use super::VersionName;

/// Longest inventory file, in bytes.
const FILE_LIMIT: usize = 4 * 1024 * 1024;

/// Highest weight of an organisation.
const WEIGHT_LIMIT: u32 = 1_000_000;

/// Highest price of a thousand tokens.
const COST_LIMIT: f64 = 1e6;

/// Longest time-out of a route, in milliseconds: a day.
const TIMEOUT_LIMIT_MS: u64 = 86_400_000;

/// Parses and checks the text of an inventory file.
///
/// # Errors
///
/// All problems found, one a line; nothing of the file may be applied then.
pub fn parse(text: &str) -> Result<Inventory, String> {
    if text.len() > FILE_LIMIT {
        return Err(format!(
            "the file has {} bytes; split off what is unused, the limit is {FILE_LIMIT}",
            text.len()
        ));
    }
    let inventory: Inventory = toml::from_str(text).map_err(|e| e.to_string())?;
    let problems = validate(&inventory);
    if problems.is_empty() {
        return Ok(inventory);
    }
    Err(problems.join("\n"))
}

/// Everything in an inventory that can't be right, each with its place and the remedy.
pub fn validate(inventory: &Inventory) -> Vec<String> {
    Checker::default().check(inventory)
}

#[derive(Default)]
struct Checker {
    problems: Vec<String>,
}

impl Checker {
    fn check(mut self, inventory: &Inventory) -> Vec<String> {
        self.models(inventory);
        self.services(inventory);
        self.routes(inventory);
        self.upstream_keys(inventory);
        self.organisations(inventory);
        self.rules(inventory);
        self.problems
    }

    fn problem(&mut self, place: &str, text: &str) {
        self.problems.push(format!("{place}: {text}"));
    }

    fn name(&mut self, place: &str, name: &str) {
        let plain = !name.is_empty()
            && name.len() <= 64
            && name
                .chars()
                .all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'));
        if !plain {
            self.problem(
                place,
                "a name has 1 to 64 letters, digits, `-`, `_` or `.`; rename it",
            );
        }
    }

    fn unique<'a>(&mut self, kind: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = BTreeSet::new();
        for name in names {
            let place = format!("{kind} `{name}`");
            self.name(&place, name);
            if !seen.insert(name) {
                self.problem(&place, "stands twice; remove or rename one");
            }
        }
    }

    fn models(&mut self, inventory: &Inventory) {
        self.unique("model", inventory.models.iter().map(|model| &*model.name));
        for model in &inventory.models {
            if &*model.name == "auto" {
                self.problem("model `auto`", "this name means any model; rename it");
            }
            let kind = format!("model `{}`: version", model.name);
            self.unique(&kind, model.versions.iter().map(|version| &*version.name));
            if model.versions.is_empty() {
                let place = format!("model `{}`", model.name);
                self.problem(&place, "has no version; add one or remove the model");
            }
        }
        for (name, version) in inventory.versions() {
            let place = format!("version `{name}`");
            self.cost(&place, "cost_in", version.cost_in);
            self.cost(&place, "cost_out", version.cost_out);
            self.share(&place, "quality", version.quality);
        }
    }

    fn cost(&mut self, place: &str, field: &str, value: f64) {
        if !(0.0..=COST_LIMIT).contains(&value) {
            let text = format!("{field} = {value} is no price; write a number from 0 to 1000000");
            self.problem(place, &text);
        }
    }

    fn share(&mut self, place: &str, field: &str, value: f64) {
        if !(0.0..=1.0).contains(&value) {
            let text = format!("{field} = {value} is out of range; write a number from 0 to 1");
            self.problem(place, &text);
        }
    }

    fn services(&mut self, inventory: &Inventory) {
        self.unique(
            "service",
            inventory.services.iter().map(|service| &*service.name),
        );
        for service in &inventory.services {
            let place = format!("service `{}`", service.name);
            for rule in &service.not_repeatable {
                let valid = rule
                    .split_once(' ')
                    .is_some_and(|(verb, path)| !verb.is_empty() && path.starts_with('/'));
                if !valid {
                    let text = format!("`{rule}` is no call; write `METHOD /path/prefix`");
                    self.problem(&place, &text);
                }
            }
            if inventory
                .models
                .iter()
                .any(|model| model.name == service.name)
            {
                self.problem(&place, "a model has the same name; rename one");
            }
        }
    }

    fn routes(&mut self, inventory: &Inventory) {
        let mut places = BTreeSet::new();
        for route in &inventory.routes {
            let place = format!("route `{}`", route.name);
            if !places.insert((&route.host, &route.prefix)) {
                self.problem(&place, "another route has its host and prefix; remove one");
            }
            self.route(&place, route, inventory);
        }
    }

    fn route(&mut self, place: &str, route: &Route, inventory: &Inventory) {
        if route.host.is_empty() {
            self.problem(place, "host is empty; write the host that requests name");
        }
        if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
            self.problem(place, "prefix: begin and end it with `/`");
        }
        if route.timeout_ms == 0 || route.timeout_ms > TIMEOUT_LIMIT_MS {
            let text = format!("timeout_ms is out of range; write 1 to {TIMEOUT_LIMIT_MS}");
            self.problem(place, &text);
        }
        if route.attempts == 0 {
            self.problem(place, "attempts = 0 serves nobody; write 1 at least");
        }
        if route.split.iter().all(|split| split.weight == 0) {
            self.problem(place, "its weights add up to 0; give one service a weight");
        }
        for split in &route.split {
            if inventory.service(&split.service).is_none() {
                let text = format!(
                    "service `{}` is not in this file; add it or name another",
                    split.service
                );
                self.problem(place, &text);
            }
        }
    }

    fn upstream_keys(&mut self, inventory: &Inventory) {
        let names = inventory.upstream_keys.iter().map(|key| &*key.name);
        self.unique("upstream key", names);
    }

    fn organisations(&mut self, inventory: &Inventory) {
        let names = inventory.organisations.iter().map(|org| &*org.name);
        self.unique("organisation", names);
        let mut keys = BTreeSet::new();
        for organisation in &inventory.organisations {
            let place = format!("organisation `{}`", organisation.name);
            self.share(&place, "quality_target", organisation.quality_target);
            if !(1..=WEIGHT_LIMIT).contains(&organisation.weight) {
                self.problem(&place, "weight is out of range; write 1 to 1000000");
            }
            if organisation.key_sha256.is_empty() {
                self.problem(&place, "has no key; add one to key_sha256");
            }
            for key in &organisation.key_sha256 {
                if !keys.insert(key.to_string()) {
                    self.problem(&place, "one of its keys stands twice; give each its own");
                }
            }
            for allowed in &organisation.allowed {
                if !exists(inventory, allowed) {
                    let text = format!(
                        "allowed `{allowed}` names no model, version or service of this file; add \
                         it or remove the name"
                    );
                    self.problem(&place, &text);
                }
            }
        }
    }

    fn rules(&mut self, inventory: &Inventory) {
        let rules = &inventory.rules;
        self.share("rules", "rating_share", rules.rating_share);
        let seconds = [
            ("session_idle_s", rules.session_idle_s, 30 * 86_400),
            ("idempotency_key_s", rules.idempotency_key_s, 30 * 86_400),
            ("queue_ms", rules.queue_ms, 600_000),
            ("exposure_budget", rules.exposure_budget, 1_000_000),
        ];
        for (field, value, limit) in seconds {
            if !(1..=limit).contains(&value) {
                let text = format!("{field} = {value} is out of range; write 1 to {limit}");
                self.problem("rules", &text);
            }
        }
    }
}

fn exists(inventory: &Inventory, name: &str) -> bool {
    if let Ok(version) = name.parse::<VersionName>() {
        return inventory.version(&version).is_some();
    }
    inventory.models.iter().any(|model| &*model.name == name) || inventory.service(name).is_some()
}
