//! Routing table: the configuration, the upstreams and the other gateways, as last received from
//! the leader.

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

/// An upstream that may receive requests.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) announced: Arc<Announcement>,
    /// Index of the log entry that announced this incarnation; a short id of it.
    pub(crate) number: Index,
    /// Whether it runs the release that is being rolled out.
    pub(crate) is_new: bool,
    /// Whether the replicated directory marks it as without recent heartbeats.
    pub(crate) is_suspect: bool,
}

impl Upstream {
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

/// The upstreams of one service that may receive requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServicePool {
    pub(crate) upstreams: Vec<Upstream>,
    /// Share of the traffic that the new release gets, 0 to 1; `None` outside a rollout.
    pub(crate) new_share: Option<f64>,
    /// Whether the new release is still on trial, during which sessions stay on their release.
    pub(crate) on_trial: bool,
    /// The release that gets the rest of the traffic.
    pub(crate) stable_release: Option<Name>,
    /// Upstreams that are left out because their data centres are evacuated.
    pub(crate) evacuated: Vec<Upstream>,
}

/// An immutable snapshot; each update from the leader replaces it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoutingTable {
    /// `None` until the first configuration has been received.
    pub(crate) config: Option<Arc<ConfigView>>,
    pub(crate) directory: Arc<Directory>,
    /// Gateways to which callers may be sent: not those that shut down or whose VM drains.
    pub(crate) entries: Arc<Vec<EntryInfo>>,
    pools: HashMap<Name, Arc<ServicePool>>,
    /// Routes by lower-case host, the longest prefix first.
    routes_by_host: HashMap<Name, Vec<Arc<Route>>>,
    /// Index of the organisation in the inventory, by the hash of each of its keys.
    organisations_by_key_hash: HashMap<[u8; 32], usize>,
}

impl RoutingTable {
    /// Returns the table with another configuration.
    pub(crate) fn with_config(mut self, config: Arc<ConfigView>) -> Self {
        let mut routes_by_host: HashMap<Name, Vec<Arc<Route>>> = HashMap::default();
        for route in &config.inventory.routes {
            let host = route.host.to_ascii_lowercase().into();
            routes_by_host
                .entry(host)
                .or_default()
                .push(Arc::new(route.clone()));
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        self.organisations_by_key_hash = HashMap::default();
        for (index, organisation) in config.inventory.organisations.iter().enumerate() {
            for key in &organisation.key_sha256 {
                self.organisations_by_key_hash
                    .insert(*key.as_bytes(), index);
            }
        }
        self.routes_by_host = routes_by_host;
        self.config = Some(config);
        self.rebuild_pools();
        self
    }

    /// Returns the table with another directory.
    pub(crate) fn with_directory(mut self, directory: Directory) -> Self {
        self.directory = Arc::new(directory);
        self.rebuild_pools();
        self
    }

    fn rebuild_pools(&mut self) {
        let mut pools: HashMap<Name, ServicePool> = HashMap::default();
        let rows = self.directory.iter();
        for row in rows.filter(|row| row.accepts_requests() || row.may_be_alive()) {
            let Serves::Service(service) = &row.announced.serves else {
                continue;
            };
            let upstream = Upstream {
                announced: Arc::new(row.announced.clone()),
                number: row.number,
                is_new: false,
                is_suspect: row.may_be_alive(),
            };
            pools
                .entry(service.clone())
                .or_default()
                .upstreams
                .push(upstream);
        }
        for (service, pool) in &mut pools {
            self.apply_releases(service, pool);
            self.remove_evacuated(pool);
        }
        self.pools = pools
            .into_iter()
            .map(|(service, pool)| (service, Arc::new(pool)))
            .collect();
    }

    /// Removes upstreams whose release must not receive requests.
    fn apply_releases(&self, service: &Name, pool: &mut ServicePool) {
        let Some(releases) = self
            .config
            .as_ref()
            .and_then(|config| config.releases.get(service))
        else {
            return;
        };
        pool.stable_release.clone_from(&releases.stable);
        let Some(rollout) = &releases.rollout else {
            keep_stable(pool, releases.stable.as_ref());
            return;
        };
        let target = Some(&rollout.target);
        match rollout.stage {
            Stage::RolledBack => pool
                .upstreams
                .retain(|upstream| upstream.announced.release.as_ref() != target),
            Stage::Complete => {}
            Stage::Trial | Stage::Ramp | Stage::Whole => {
                pool.new_share = Some(crate::policy::release_rollout::traffic_share(rollout));
                pool.on_trial = rollout.stage == Stage::Trial;
                for upstream in &mut pool.upstreams {
                    upstream.is_new = upstream.announced.release.as_ref() == target;
                }
                let stable_release = releases.stable.as_ref();
                pool.upstreams.retain(|upstream| {
                    upstream.is_new || upstream.announced.release.as_ref() == stable_release
                });
                return;
            }
        }
        keep_stable(pool, releases.stable.as_ref());
    }

    /// Removes upstreams in evacuated data centres. This comes after the releases: while those of the
    /// stable release are evacuated, a release that has not been rolled out must not replace it.
    fn remove_evacuated(&self, pool: &mut ServicePool) {
        let Some(config) = &self.config else {
            return;
        };
        pool.evacuated = pool
            .upstreams
            .extract_if(.., |upstream| {
                config.evacuated.contains(&upstream.announced.data_centre)
            })
            .collect();
    }

    /// Returns whether upstreams in a data centre must not get requests.
    pub(crate) fn is_evacuated(&self, data_centre: &Name) -> bool {
        let config = self.config.as_ref();
        config.is_some_and(|config| config.evacuated.contains(data_centre))
    }

    /// Returns whether a configuration with routes has been received. The system makes revisions of
    /// its own, so the first one need not come from an operator.
    pub(crate) fn has_routes(&self) -> bool {
        !self.routes_by_host.is_empty()
    }

    /// Returns the cost of a model relative to the cheapest model of its service, which
    /// approximates how much slower it is; 1 if the costs are not known.
    pub(crate) fn slowness(&self, service: &str, model: &str) -> f64 {
        let models = self
            .engine(service)
            .map_or(&[][..], |engine| &engine.models);
        let cost = models.iter().find(|m| *m.name == *model).map(|m| m.cost);
        let cheapest = models.iter().map(|m| m.cost).fold(f64::INFINITY, f64::min);
        match cost {
            Some(cost) if cheapest > 0.0 && cheapest.is_finite() => cost / cheapest,
            _ => 1.0,
        }
    }

    /// Returns the engine settings of a service, if its upstreams run models.
    pub(crate) fn engine(&self, service: &str) -> Option<&EngineSpec> {
        let inventory = &self.config.as_ref()?.inventory;
        inventory.service(service)?.engine.as_ref()
    }

    /// Returns the upstreams of a service; `None` if it has none.
    pub(crate) fn pool(&self, service: &str) -> Option<&Arc<ServicePool>> {
        self.pools.get(service)
    }

    /// Iterates over the services that have upstreams.
    pub(crate) fn pools(&self) -> impl Iterator<Item = (&Name, &Arc<ServicePool>)> {
        self.pools.iter()
    }

    /// Returns the route with the longest matching prefix.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let mut routes = self.host_routes(host)?.iter();
        routes.find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the routes of a host, the longest prefix first. A host without a route is looked up
    /// again without its port.
    pub(crate) fn host_routes(&self, host: &str) -> Option<&[Arc<Route>]> {
        let lowercase;
        let host = if host.bytes().any(|b| b.is_ascii_uppercase()) {
            lowercase = host.to_ascii_lowercase();
            &lowercase
        } else {
            host
        };
        let routes = self.routes_by_host.get(host).or_else(|| {
            let (name, _port) = host.rsplit_once(':')?;
            self.routes_by_host.get(name)
        });
        routes.map(Vec::as_slice)
    }

    /// Returns the organisation to which an API key belongs.
    pub(crate) fn organisation(&self, key: &str) -> Option<&Organisation> {
        let config = self.config.as_ref()?;
        let hash = crate::config::KeyHash::of(key);
        let index = *self.organisations_by_key_hash.get(hash.as_bytes())?;
        config.inventory.organisations.get(index)
    }
}

/// Keeps only the upstreams of the stable release, unless there are none.
fn keep_stable(pool: &mut ServicePool, stable_release: Option<&Name>) {
    let is_stable = |upstream: &Upstream| upstream.announced.release.as_ref() == stable_release;
    if stable_release.is_some() && pool.upstreams.iter().any(is_stable) {
        pool.upstreams.retain(is_stable);
    }
}
