//! Parses and validates an inventory file. Each error names the place and the remedy.

use std::collections::BTreeSet;

use super::Inventory;
use super::Route;
use super::VersionName;
use crate::collections::Name;
use crate::policy::cold_start::MAX_COLD;
use crate::policy::cold_start::MAX_RATE;

/// Largest inventory file.
const MAX_FILE_BYTES: usize = 4 * 1024 * 1024;

/// Highest weight of an organisation.
const MAX_WEIGHT: u32 = 1_000_000;

/// Highest price of a thousand tokens.
const MAX_COST: f64 = 1e6;

/// Most regions that one list may name.
const MAX_REGIONS: usize = 256;

/// Longest timeout of a route: one day.
const MAX_TIMEOUT_MS: u64 = 86_400_000;

/// Parses and validates the text of an inventory file.
///
/// # Errors
///
/// All problems found, one per line; nothing of the file may be applied then.
pub fn parse(text: &str) -> Result<Inventory, String> {
    if text.len() > MAX_FILE_BYTES {
        return Err(format!(
            "the file has {} bytes, the limit is {MAX_FILE_BYTES}; remove unused entries",
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

/// Returns all problems of an inventory, each with its place and the remedy.
pub fn validate(inventory: &Inventory) -> Vec<String> {
    Checker::default().check(inventory)
}

/// Collects the problems of an inventory.
#[derive(Default)]
struct Checker {
    problems: Vec<String>,
}

impl Checker {
    fn check(mut self, inventory: &Inventory) -> Vec<String> {
        self.check_models(inventory);
        self.check_services(inventory);
        self.check_routes(inventory);
        self.check_upstream_keys(inventory);
        self.check_organisations(inventory);
        self.check_rules(inventory);
        self.problems
    }

    fn report(&mut self, place: &str, text: &str) {
        self.problems.push(format!("{place}: {text}"));
    }

    fn check_name(&mut self, place: &str, name: &str) {
        let is_valid = !name.is_empty()
            && name.len() <= 64
            && name
                .chars()
                .all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'));
        if !is_valid {
            self.report(
                place,
                "a name must have 1 to 64 letters, digits, `-`, `_` or `.`; rename it",
            );
        }
    }

    fn check_regions(&mut self, place: &str, regions: &[Name]) {
        if regions.len() > MAX_REGIONS {
            let text = format!("more than {MAX_REGIONS} regions; list fewer, or none for any");
            self.report(place, &text);
        }
        let mut seen = BTreeSet::new();
        for region in regions {
            let place = format!("{place}: region `{region}`");
            self.check_name(&place, region);
            if !seen.insert(region) {
                self.report(&place, "is listed more than once; list it once");
            }
        }
    }

    fn check_unique_names<'a>(&mut self, kind: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = BTreeSet::new();
        for name in names {
            let place = format!("{kind} `{name}`");
            self.check_name(&place, name);
            if !seen.insert(name) {
                self.report(&place, "is defined more than once; remove or rename one");
            }
        }
    }

    fn check_models(&mut self, inventory: &Inventory) {
        self.check_unique_names("model", inventory.models.iter().map(|model| &*model.name));
        for model in &inventory.models {
            if &*model.name == "auto" {
                self.report(
                    "model `auto`",
                    "this name is reserved for any model; rename it",
                );
            }
            let kind = format!("model `{}`: version", model.name);
            self.check_unique_names(&kind, model.versions.iter().map(|version| &*version.name));
            if model.versions.is_empty() {
                let place = format!("model `{}`", model.name);
                self.report(&place, "has no version; add one or remove the model");
            }
        }
        for (name, version) in inventory.versions() {
            let place = format!("version `{name}`");
            self.check_cost(&place, "cost_in", version.cost_in);
            self.check_cost(&place, "cost_out", version.cost_out);
            self.check_fraction(&place, "quality", version.quality);
        }
    }

    fn check_cost(&mut self, place: &str, field: &str, value: f64) {
        if !(0.0..=MAX_COST).contains(&value) {
            let text =
                format!("{field} = {value} is not a valid price; write a number from 0 to 1000000");
            self.report(place, &text);
        }
    }

    fn check_fraction(&mut self, place: &str, field: &str, value: f64) {
        if !(0.0..=1.0).contains(&value) {
            let text = format!("{field} = {value} is out of range; write a number from 0 to 1");
            self.report(place, &text);
        }
    }

    fn check_services(&mut self, inventory: &Inventory) {
        self.check_unique_names(
            "service",
            inventory.services.iter().map(|service| &*service.name),
        );
        for service in &inventory.services {
            let place = format!("service `{}`", service.name);
            for rule in &service.not_repeatable {
                let valid = rule
                    .split_once(' ')
                    .is_some_and(|(method, path)| !method.is_empty() && path.starts_with('/'));
                if !valid {
                    let text = format!(
                        "`{rule}` in not_repeatable is invalid; write `METHOD /path/prefix`"
                    );
                    self.report(&place, &text);
                }
            }
            if !(0.0..=MAX_RATE).contains(&service.cold_per_s) {
                let text = format!(
                    "cold_per_s = {} is out of range; write a number from 0 to {MAX_RATE}",
                    service.cold_per_s
                );
                self.report(&place, &text);
            }
            let max_cold_ms = MAX_COLD.as_millis();
            if u128::from(service.cold_start_ms) > max_cold_ms {
                let text = format!(
                    "cold_start_ms is out of range; write a number from 0 to {max_cold_ms}"
                );
                self.report(&place, &text);
            }
            if inventory
                .models
                .iter()
                .any(|model| model.name == service.name)
            {
                self.report(&place, "a model has the same name; rename one");
            }
        }
    }

    fn check_routes(&mut self, inventory: &Inventory) {
        let mut places = BTreeSet::new();
        for route in &inventory.routes {
            let place = format!("route `{}`", route.name);
            if !places.insert((&route.host, &route.prefix)) {
                self.report(
                    &place,
                    "another route has the same host and prefix; remove one",
                );
            }
            self.check_route(&place, route, inventory);
        }
    }

    fn check_route(&mut self, place: &str, route: &Route, inventory: &Inventory) {
        if route.host.is_empty() {
            self.report(place, "host is empty; write the host name of the requests");
        }
        if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
            self.report(place, "prefix must begin and end with `/`");
        }
        if route.timeout_ms == 0 || route.timeout_ms > MAX_TIMEOUT_MS {
            let text = format!("timeout_ms is out of range; write 1 to {MAX_TIMEOUT_MS}");
            self.report(place, &text);
        }
        if route.attempts == 0 {
            self.report(
                place,
                "attempts = 0 would serve no request; write 1 or more",
            );
        }
        if route.split.iter().all(|split| split.weight == 0) {
            self.report(
                place,
                "the weights of its services add up to 0; set one above 0",
            );
        }
        self.check_regions(place, &route.regions);
        for split in &route.split {
            if inventory.service(&split.service).is_none() {
                let text = format!(
                    "service `{}` is not in this file; add it or choose another",
                    split.service
                );
                self.report(place, &text);
            }
        }
    }

    fn check_upstream_keys(&mut self, inventory: &Inventory) {
        let names = inventory.upstream_keys.iter().map(|key| &*key.name);
        self.check_unique_names("upstream key", names);
    }

    fn check_organisations(&mut self, inventory: &Inventory) {
        let names = inventory.organisations.iter().map(|org| &*org.name);
        self.check_unique_names("organisation", names);
        let mut keys = BTreeSet::new();
        for organisation in &inventory.organisations {
            let place = format!("organisation `{}`", organisation.name);
            self.check_fraction(&place, "quality_target", organisation.quality_target);
            if !(1..=MAX_WEIGHT).contains(&organisation.weight) {
                self.report(&place, "weight is out of range; write 1 to 1000000");
            }
            self.check_regions(&place, &organisation.regions);
            if organisation.key_sha256.is_empty() {
                self.report(&place, "has no key; add one to key_sha256");
            }
            for key in &organisation.key_sha256 {
                if !keys.insert(key.to_string()) {
                    self.report(
                        &place,
                        "one of its keys is listed more than once; list each key once",
                    );
                }
            }
            for allowed in &organisation.allowed {
                if !is_defined(inventory, allowed) {
                    let text = format!(
                        "allowed `{allowed}` is not a model, version or service in this file; add \
                         it or remove the name"
                    );
                    self.report(&place, &text);
                }
            }
        }
    }

    fn check_rules(&mut self, inventory: &Inventory) {
        let rules = &inventory.rules;
        self.check_fraction("rules", "rating_share", rules.rating_share);
        let ranges = [
            ("session_idle_s", rules.session_idle_s, 30 * 86_400),
            ("idempotency_key_s", rules.idempotency_key_s, 30 * 86_400),
            ("queue_ms", rules.queue_ms, 600_000),
            ("exposure_budget", rules.exposure_budget, 1_000_000),
        ];
        for (field, value, limit) in ranges {
            if !(1..=limit).contains(&value) {
                let text = format!("{field} = {value} is out of range; write 1 to {limit}");
                self.report("rules", &text);
            }
        }
    }
}

/// Returns whether `name` is a model, version or service of the inventory.
fn is_defined(inventory: &Inventory, name: &str) -> bool {
    if let Ok(version) = name.parse::<VersionName>() {
        return inventory.version(&version).is_some();
    }
    inventory.models.iter().any(|model| &*model.name == name) || inventory.service(name).is_some()
}
