//! The link to the state: renewals of the lease, which carry all control news both ways, and calls
//! to the leader.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;

use super::Shared;
use super::ledger::Batcher;
use super::view::View;
use crate::lease::RENEWAL_INTERVAL;
use crate::log::event;
use crate::peer::Client;
use crate::peer::Grant;
use crate::peer::LeaderClient;
use crate::peer::Renewal;
use crate::peer::Reply;
use crate::peer::Request;
use crate::state::command::LedgerOp;
use crate::state::command::LedgerOutcome;

/// Time between sendings of steps that nobody waits for.
const FLUSH: Duration = Duration::from_millis(50);

/// What workers ask of the link.
pub(crate) enum Ask {
    /// A call to the leader, repeated until `limit` has passed.
    Call {
        request: Request,
        limit: Duration,
        tx: oneshot::Sender<Reply>,
    },
    /// A step of the ledger.
    Ledger(LedgerOp, Option<oneshot::Sender<LedgerOutcome>>),
}

/// Runs the link until the entry is released and everything is settled.
pub(super) async fn run(
    shared: Arc<Shared>,
    mut asks: UnboundedReceiver<Ask>,
    released: Arc<AtomicBool>,
) {
    let client = Client::new(&shared.cfg.peer_key);
    let link = LeaderClient::new(client, shared.cfg.state.clone());
    let batcher = Batcher::default();
    let renewing = tokio::task::spawn_local(renew(shared.clone(), link.clone()));
    let mut flush = tokio::time::interval(FLUSH);
    loop {
        tokio::select! {
            ask = asks.recv() => match ask {
                Some(Ask::Ledger(op, tx)) => batcher.push(&link, (op, tx)),
                Some(Ask::Call { request, limit, tx }) => {
                    let link = link.clone();
                    tokio::task::spawn_local(async move {
                        if let Some(reply) = link.call_with_timeout(request, limit).await {
                            let _ = tx.send(reply);
                        }
                    });
                }
                None => break,
            },
            _ = flush.tick() => {
                batcher.flush(&link);
                if released.load(Ordering::Relaxed) && batcher.is_idle() && asks.is_empty() {
                    break;
                }
            }
        }
    }
    renewing.abort();
    let mut last = Renewer::default().renewal(&shared);
    last.releases_lease = true;
    let _ = link
        .call_with_timeout(Request::Renew(Box::new(last)), 3 * RENEWAL_INTERVAL)
        .await;
}

/// Renews the lease for ever.
async fn renew(shared: Arc<Shared>, link: LeaderClient) {
    let mut renewer = Renewer::default();
    loop {
        let sent_at = shared.now();
        let renewal = renewer.renewal(&shared);
        let reply = link.try_call(&Request::Renew(Box::new(renewal))).await;
        let granted = match reply {
            Some(Reply::Grant(grant)) => {
                renewer.take(&shared, *grant, sent_at);
                true
            }
            _ => false,
        };
        let live = shared.lease_is_live();
        renewer.follow_lease(&shared, live);
        shared
            .ready
            .store(live && !shared.is_leaving(), Ordering::Relaxed);
        if !granted {
            link.wait_before_retry().await;
            continue;
        }
        let passed = shared.now().saturating_sub(sent_at);
        tokio::time::sleep(RENEWAL_INTERVAL.saturating_sub(passed)).await;
    }
}

/// What the next renewal has to say.
#[derive(Default)]
struct Renewer {
    term: u64,
    introduced: bool,
    directory: u64,
    loads_seen: u64,
    entries_seen: u64,
    quality_seen: u64,
    was_live: bool,
}

impl Renewer {
    fn renewal(&self, shared: &Shared) -> Renewal {
        let now = shared.now();
        let (acked, revision) = {
            let mut lease = shared.lease.lock();
            (lease.acked_revision(now), lease.revision())
        };
        Renewal {
            entry: shared.entry,
            info: (!self.introduced).then(|| shared.info.clone()),
            acked_revision: acked,
            revision,
            term: self.term,
            directory_index: self.directory,
            loads_version: self.loads_seen,
            entries_version: self.entries_seen,
            quality_version: self.quality_seen,
            loads: shared.take_news(),
            replicas_digest: 0,
            demand: shared.pools.lock().demand(),
            release_stats: Vec::new(),
            is_leaving: shared.is_leaving(),
            releases_lease: false,
        }
    }

    fn take(&mut self, shared: &Shared, grant: Grant, sent_at: Duration) {
        self.term = grant.term;
        self.introduced = !grant.wants_info;
        self.directory = grant.directory_index;
        self.loads_seen = grant.loads_version;
        self.entries_seen = grant.entries_version;
        shared.gone.store(grant.is_unlisted, Ordering::Relaxed);
        let now = shared.now();
        let mut view: View = (*shared.view()).clone();
        let mut changed = false;
        if !grant.upstreams.is_empty() {
            let mut directory = (*view.directory).clone();
            directory.merge(grant.upstreams);
            view = view.with_directory(directory);
            changed = true;
        }
        self.quality_seen = grant.quality_version;
        if !grant.quality.is_empty() {
            let quality = Arc::make_mut(&mut view.quality);
            for row in grant.quality {
                quality.insert(row.version, row.class, row.history);
            }
            changed = true;
        }
        if let Some(entries) = grant.entries {
            view.entries = Arc::new(entries);
            changed = true;
        }
        let config = grant.config.filter(|config| {
            let known = view.config.revision;
            config.revision > known
        });
        if let Some(config) = config {
            let revision = config.revision;
            view.config = Arc::from(config);
            shared.set_view(view);
            shared.lease.lock().apply_revision(revision, now);
            shared
                .metrics
                .set_gauge("daisyquay_revision", revision as f64);
            event!(Info, "config_taken", revision = revision);
        } else if changed {
            shared.set_view(view);
        }
        self.take_loads(shared, &grant.loads, now);
        shared.pools.lock().resize(&grant.slots);
        // The lease is live only once all that came with it is in place.
        shared.lease.lock().record_grant(sent_at);
    }

    fn take_loads(&self, shared: &Shared, rows: &[crate::peer::UpstreamLoad], now: Duration) {
        let view = shared.view();
        let mut runners = shared.runners.lock();
        for row in rows {
            let upstream = view.directory.by_number(row.number);
            if let (Some(upstream), Some(level)) = (upstream, row.level) {
                let announced = &upstream.announced;
                runners.set_level(&announced.id, announced.incarnation, level, now);
            }
        }
        runners.retain(|id| view.directory.get(id).is_some());
    }

    fn follow_lease(&mut self, shared: &Shared, live: bool) {
        shared
            .metrics
            .set_gauge("daisyquay_lease_live", f64::from(u8::from(live)));
        if live != self.was_live {
            self.was_live = live;
            if live {
                event!(Info, "lease_live", vm = shared.cfg.vm);
            } else {
                event!(Warn, "lease_lost", vm = shared.cfg.vm);
            }
        }
    }
}
