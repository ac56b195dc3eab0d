//! Renewals at the leading replica, which carry all news both ways.

use std::rc::Rc;
use std::sync::Arc;

use super::Gateway;
use crate::lease::RENEWAL_INTERVAL;
use crate::log::event;
use crate::peer::Client;
use crate::peer::Grant;
use crate::peer::LeaderClient;
use crate::peer::Renewal;
use crate::peer::Reply;
use crate::peer::Request;

/// Renews for as long as the process runs.
pub(super) async fn renew(gateway: Rc<Gateway>) {
    let client = Client::new(&gateway.cfg.peer_key);
    let leader = LeaderClient::new(client, gateway.cfg.state.clone());
    let mut renewer = Renewer::default();
    loop {
        let sent_at = gateway.now();
        let renewal = renewer.renewal(&gateway);
        let seen = renewal.release_stats.clone();
        let reply = leader.try_call(&Request::Renew(Box::new(renewal))).await;
        let Some(Reply::Grant(grant)) = reply else {
            gateway.restore_seen(seen);
            renewer.lost();
            leader.wait_before_retry().await;
            continue;
        };
        renewer.take(&gateway, &leader, *grant);
        let passed = gateway.now().saturating_sub(sent_at);
        tokio::time::sleep(RENEWAL_INTERVAL.saturating_sub(passed)).await;
    }
}

/// What the next renewal has to say.
#[derive(Default)]
struct Renewer {
    term: u64,
    introduced: bool,
    revision: u64,
    directory: u64,
    entries_seen: u64,
    replicas_seen: u32,
    linked: bool,
}

impl Renewer {
    fn renewal(&self, gateway: &Gateway) -> Renewal {
        Renewal {
            entry: gateway.run,
            info: (!self.introduced).then(|| gateway.info.clone()),
            acked_revision: self.revision,
            revision: self.revision,
            term: self.term,
            directory_index: self.directory,
            loads_version: 0,
            entries_version: self.entries_seen,
            quality_version: 0,
            replicas_digest: self.replicas_seen,
            loads: Vec::new(),
            demand: Vec::new(),
            release_stats: gateway.take_seen(),
            is_leaving: gateway.is_leaving(),
            releases_lease: false,
        }
    }

    fn lost(&mut self) {
        if self.linked {
            self.linked = false;
            event!(Warn, "state_lost", revision = self.revision);
        }
    }

    fn take(&mut self, gateway: &Gateway, leader: &LeaderClient, grant: Grant) {
        if !self.linked {
            self.linked = true;
            event!(Info, "state_found", term = grant.term);
        }
        self.term = grant.term;
        self.introduced = !grant.wants_info;
        self.directory = grant.directory_index;
        self.entries_seen = grant.entries_version;
        self.replicas_seen = grant.replicas_digest;
        gateway.runners.borrow_mut().set_silent(&grant.suspects);
        if let Some(replicas) = grant.replicas {
            event!(Info, "replicas_known", replicas = format!("{replicas:?}"));
            leader.set_replicas(replicas);
        }
        let mut picture = (*gateway.picture()).clone();
        let mut changed = false;
        if !grant.upstreams.is_empty() {
            let mut directory = (*picture.directory).clone();
            directory.merge(grant.upstreams);
            picture = picture.with_directory(directory);
            changed = true;
        }
        if let Some(entries) = grant.entries {
            picture.entries = Arc::new(entries);
            changed = true;
        }
        if let Some(config) = grant.config.filter(|c| c.revision > self.revision) {
            self.revision = config.revision;
            event!(Info, "config_taken", revision = self.revision);
            gateway
                .metrics
                .set_gauge("daisyquay_revision", self.revision as f64);
            picture = picture.with_config(Arc::from(config));
            changed = true;
        }
        if !changed {
            return;
        }
        let directory = picture.directory.clone();
        *gateway.picture.borrow_mut() = Arc::new(picture);
        gateway
            .runners
            .borrow_mut()
            .retain(|id| directory.get(id).is_some());
    }
}
