//! What the gateway knows of the configuration, the upstreams and the other gateways.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::agreement::Index;
use crate::collections::HashMap;
use crate::collections::Name;
use crate::config::EngineSpec;
use crate::config::Organisation;
use crate::config::Route;
use crate::peer::ConfigView;
use crate::peer::EntryInfo;
use crate::state::Stage;
use crate::upstream::Announcement;
use crate::upstream::Directory;
use crate::upstream::Serves;

/// An upstream that may take work.
#[derive(Clone, Debug)]
pub(crate) struct Runner {
    pub(crate) announced: Arc<Announcement>,
    /// Names its start in a few bytes.
    pub(crate) number: Index,
    /// Whether it has the release that is being rolled out.
    pub(crate) is_new: bool,
    /// Whether it has not been heard for long.
    pub(crate) silent: bool,
}

impl Runner {
    pub(crate) fn id(&self) -> &Name {
        &self.announced.id
    }

    pub(crate) fn service(&self) -> Option<&Name> {
        match &self.announced.serves {
            Serves::Service(service) => Some(service),
            Serves::Versions(_) => None,
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.announced.address
    }
}

/// The upstreams of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    pub(crate) runners: Vec<Runner>,
    /// Share of the traffic that the new release gets; `None` outside a roll-out.
    pub(crate) new_share: Option<f64>,
    /// Whether the new release is still on trial, so that sessions stay where they are.
    pub(crate) on_trial: bool,
    /// The release that takes the rest.
    pub(crate) settled: Option<Name>,
}

/// An immutable picture; news put a new one in its place.
#[derive(Clone, Debug, Default)]
pub(crate) struct Picture {
    /// `None` until the first configuration has come.
    pub(crate) config: Option<Arc<ConfigView>>,
    pub(crate) directory: Arc<Directory>,
    pub(crate) entries: Arc<Vec<EntryInfo>>,
    pools: HashMap<Name, Arc<Pool>>,
    hosts: HashMap<Name, Vec<Arc<Route>>>,
    /// Organisations by the hash of a key.
    by_hash: HashMap<[u8; 32], usize>,
}

impl Picture {
    /// Puts another configuration in place.
    pub(crate) fn with_config(mut self, config: Arc<ConfigView>) -> Self {
        let mut hosts: HashMap<Name, Vec<Arc<Route>>> = HashMap::default();
        for route in &config.inventory.routes {
            let host = route.host.to_ascii_lowercase().into();
            hosts.entry(host).or_default().push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        self.by_hash = HashMap::default();
        for (i, organisation) in config.inventory.organisations.iter().enumerate() {
            for key in &organisation.key_sha256 {
                self.by_hash.insert(*key.as_bytes(), i);
            }
        }
        self.hosts = hosts;
        self.config = Some(config);
        self.sort_runners();
        self
    }

    /// Puts another directory in place.
    pub(crate) fn with_directory(mut self, directory: Directory) -> Self {
        self.directory = Arc::new(directory);
        self.sort_runners();
        self
    }

    fn sort_runners(&mut self) {
        let mut pools: HashMap<Name, Pool> = HashMap::default();
        let rows = self.directory.iter();
        for row in rows.filter(|row| row.accepts_requests() || row.may_be_alive()) {
            let Serves::Service(service) = &row.announced.serves else {
                continue;
            };
            let runner = Runner {
                announced: Arc::new(row.announced.clone()),
                number: row.number,
                is_new: false,
                silent: row.may_be_alive(),
            };
            pools
                .entry(service.clone())
                .or_default()
                .runners
                .push(runner);
        }
        for (service, pool) in &mut pools {
            self.apply_releases(service, pool);
        }
        self.pools = pools
            .into_iter()
            .map(|(service, pool)| (service, Arc::new(pool)))
            .collect();
    }

    /// Leaves out upstreams whose release may get nothing.
    fn apply_releases(&self, service: &Name, pool: &mut Pool) {
        let Some(line) = self
            .config
            .as_ref()
            .and_then(|config| config.releases.get(service))
        else {
            return;
        };
        pool.settled.clone_from(&line.stable);
        let Some(rollout) = &line.rollout else {
            keep_settled(pool, line.stable.as_ref());
            return;
        };
        let target = Some(&rollout.target);
        match rollout.stage {
            Stage::RolledBack => pool
                .runners
                .retain(|runner| runner.announced.release.as_ref() != target),
            Stage::Complete => {}
            Stage::Trial | Stage::Ramp | Stage::Whole => {
                pool.new_share = Some(crate::policy::release_rollout::traffic_share(rollout));
                pool.on_trial = rollout.stage == Stage::Trial;
                for runner in &mut pool.runners {
                    runner.is_new = runner.announced.release.as_ref() == target;
                }
                let settled = line.stable.as_ref();
                pool.runners
                    .retain(|runner| runner.is_new || runner.announced.release.as_ref() == settled);
                return;
            }
        }
        keep_settled(pool, line.stable.as_ref());
    }

    /// Cost of a model against the cheapest of its service, which stands for its slowness.
    pub(crate) fn slowness(&self, service: &str, model: &str) -> f64 {
        let models = self
            .engine(service)
            .map_or(&[][..], |engine| &engine.models);
        let cost = models.iter().find(|m| *m.name == *model).map(|m| m.cost);
        let least = models.iter().map(|m| m.cost).fold(f64::INFINITY, f64::min);
        match cost {
            Some(cost) if least > 0.0 && least.is_finite() => cost / least,
            _ => 1.0,
        }
    }

    /// What the engines of a service can do.
    pub(crate) fn engine(&self, service: &str) -> Option<&EngineSpec> {
        let inventory = &self.config.as_ref()?.inventory;
        inventory.service(service)?.engine.as_ref()
    }

    /// Upstreams of a service.
    pub(crate) fn pool(&self, service: &str) -> Option<&Arc<Pool>> {
        self.pools.get(service)
    }

    /// The route of a request.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let lower;
        let host = if host.bytes().any(|b| b.is_ascii_uppercase()) {
            lower = host.to_ascii_lowercase();
            &lower
        } else {
            host
        };
        let routes = self.hosts.get(host).or_else(|| {
            let (name, _port) = host.rsplit_once(':')?;
            self.hosts.get(name)
        })?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The organisation that holds a key.
    pub(crate) fn organisation(&self, key: &str) -> Option<&Organisation> {
        let config = self.config.as_ref()?;
        let hash = crate::config::KeyHash::of(key);
        let i = *self.by_hash.get(hash.as_bytes())?;
        config.inventory.organisations.get(i)
    }
}

/// Leaves the settled release alone, as long as it has upstreams.
fn keep_settled(pool: &mut Pool, settled: Option<&Name>) {
    let is_settled = |runner: &Runner| runner.announced.release.as_ref() == settled;
    if settled.is_some() && pool.runners.iter().any(is_settled) {
        pool.runners.retain(is_settled);
    }
}
