//! The connection to the leader of the state replicas: lease renewals, which carry all control data
//! in both directions, and calls on behalf of the workers.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;

use super::Shared;
use super::ledger::Batcher;
use super::view::View;
use crate::evacuation;
use crate::lease::RENEWAL_INTERVAL;
use crate::log::event;
use crate::peer::Client;
use crate::peer::ConfigUpdate;
use crate::peer::ConfigView;
use crate::peer::Grant;
use crate::peer::LeaderClient;
use crate::peer::Renewal;
use crate::peer::Reply;
use crate::peer::Request;
use crate::state::command::LedgerOp;
use crate::state::command::LedgerOutcome;

/// Interval at which ledger operations that no request waits for are sent.
const FLUSH_INTERVAL: Duration = Duration::from_millis(50);

/// A command from a worker.
pub(crate) enum Command {
    /// A call to the leader, retried until `limit` has passed.
    Call {
        request: Request,
        limit: Duration,
        tx: oneshot::Sender<Reply>,
    },
    /// A ledger operation, and the sender for its outcome where a request waits for it.
    Ledger(LedgerOp, Option<oneshot::Sender<LedgerOutcome>>),
}

/// Runs the link until release is requested and all ledger operations are done, then releases the
/// lease.
pub(super) async fn run(
    shared: Arc<Shared>,
    mut commands: UnboundedReceiver<Command>,
    releasing: Arc<AtomicBool>,
) {
    let client = Client::new(&shared.cfg.peer_key);
    let (replicas, clock) = (shared.cfg.state.clone(), shared.clock.clone());
    let leader = LeaderClient::new(client, replicas, clock);
    let batcher = Batcher::default();
    let renewing = tokio::task::spawn_local(renew_lease(shared.clone(), leader.clone()));
    let mut flush = tokio::time::interval(FLUSH_INTERVAL);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(Command::Ledger(op, tx)) => batcher.push(&leader, (op, tx)),
                Some(Command::Call { request, limit, tx }) => {
                    let leader = leader.clone();
                    tokio::task::spawn_local(async move {
                        if let Some(reply) = leader.call_with_timeout(request, limit).await {
                            let _ = tx.send(reply);
                        }
                    });
                }
                None => break,
            },
            _ = flush.tick() => {
                batcher.flush(&leader);
                if releasing.load(Ordering::Relaxed) && batcher.is_idle() && commands.is_empty() {
                    break;
                }
            }
        }
    }
    renewing.abort();
    let mut last = Renewer::default().renewal(&shared);
    last.releases_lease = true;
    let _ = leader
        .call_with_timeout(Request::Renew(Box::new(last)), 3 * RENEWAL_INTERVAL)
        .await;
}

/// Renews the lease until aborted.
async fn renew_lease(shared: Arc<Shared>, leader: LeaderClient) {
    let mut renewer = Renewer::default();
    loop {
        let sent_at = shared.now();
        let renewal = renewer.renewal(&shared);
        let reply = leader.try_call(&Request::Renew(Box::new(renewal))).await;
        let granted = match reply {
            Some(Reply::Grant(grant)) => {
                renewer.apply_grant(&shared, *grant, sent_at);
                true
            }
            _ => false,
        };
        let live = shared.lease_is_live();
        renewer.report_lease(&shared, live);
        shared
            .ready
            .store(live && !shared.is_leaving(), Ordering::Relaxed);
        if !granted {
            leader.wait_before_retry().await;
            continue;
        }
        if !renewer.has_whole_directory {
            continue;
        }
        let passed = shared.now().saturating_sub(sent_at);
        tokio::time::sleep(RENEWAL_INTERVAL.saturating_sub(passed)).await;
    }
}

/// What the leader has sent so far, from which the next renewal is built.
#[derive(Default)]
struct Renewer {
    term: u64,
    /// Whether the leader has this entry's info.
    is_introduced: bool,
    directory_index: u64,
    /// Whether the last grant had all changes of the directory.
    has_whole_directory: bool,
    loads_version: u64,
    entries_version: u64,
    quality_version: u64,
    /// Digest of the replicas' addresses.
    replicas_digest: u32,
    was_live: bool,
}

impl Renewer {
    /// Builds the next renewal; drains the pending loads.
    fn renewal(&self, shared: &Shared) -> Renewal {
        let now = shared.now();
        let (acked_revision, revision) = {
            let mut lease = shared.lease.lock();
            (lease.acked_revision(now), lease.revision())
        };
        Renewal {
            entry: shared.entry_id,
            info: (!self.is_introduced).then(|| shared.info.clone()),
            acked_revision,
            revision,
            max_config_bytes: u32::MAX,
            term: self.term,
            directory_index: self.directory_index,
            loads_version: self.loads_version,
            entries_version: self.entries_version,
            quality_version: self.quality_version,
            loads: shared.drain_pending_loads(),
            replicas_digest: self.replicas_digest,
            demand: shared.pools.lock().demand(),
            release_stats: Vec::new(),
            is_leaving: shared.is_leaving(),
            releases_lease: false,
            partial_entries_version: None,
        }
    }

    /// Applies a grant whose renewal was sent at `sent_at`, from which the lease counts.
    fn apply_grant(&mut self, shared: &Shared, grant: Grant, sent_at: Duration) {
        self.term = grant.term;
        self.is_introduced = !grant.wants_info;
        self.loads_version = grant.loads_version;
        self.entries_version = grant.entries_version;
        self.replicas_digest = grant.replicas_digest;
        shared
            .is_unlisted
            .store(grant.is_unlisted, Ordering::Relaxed);
        let now = shared.now();
        let mut view: View = (*shared.view()).clone();
        let mut changed = false;
        self.has_whole_directory = true;
        match grant.directory.rows() {
            Ok(rows) => {
                self.has_whole_directory = grant.directory.is_last();
                self.directory_index = grant.directory.index();
                if !rows.is_empty() {
                    let mut directory = (*view.directory).clone();
                    directory.merge(rows);
                    view = view.with_directory(directory);
                    changed = true;
                }
            }
            Err(e) => event!(Warn, "directory_update_rejected", error = e),
        }
        self.quality_version = grant.quality_version;
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
        if let Some(config) = updated_config(&view.config, grant.config.as_ref()) {
            let revision = config.revision;
            evacuation::report(&shared.metrics, &view.config, &config);
            shared.set_view(view.with_config(Arc::new(config)));
            shared.lease.lock().apply_revision(revision, now);
            shared
                .metrics
                .set_gauge("daisyquay_revision", revision as f64);
            event!(Info, "config_taken", revision = revision);
        } else if changed {
            shared.set_view(view);
        }
        self.apply_loads(shared, &grant.loads, now);
        shared.pools.lock().resize(&grant.slots);
        // The lease becomes live only after everything in its grant has been applied.
        shared.lease.lock().record_grant(sent_at);
    }

    fn apply_loads(&self, shared: &Shared, rows: &[crate::peer::UpstreamLoad], now: Duration) {
        let view = shared.view();
        let mut upstreams = shared.upstreams.lock();
        for row in rows {
            let upstream = view.directory.by_number(row.number);
            if let (Some(upstream), Some(level)) = (upstream, row.level) {
                let announced = &upstream.announced;
                upstreams.set_level(&announced.id, announced.incarnation, level, now);
            }
        }
        upstreams.retain(|id| view.directory.get(id).is_some());
    }

    /// Updates the metric, and logs where the lease has become live or has been lost.
    fn report_lease(&mut self, shared: &Shared, live: bool) {
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

/// Returns the configuration after an update; `None` where there is none or it can't be applied.
/// The leader's next update then starts from the revision that is still held.
fn updated_config(held: &ConfigView, update: Option<&ConfigUpdate>) -> Option<ConfigView> {
    let update = update.filter(|update| update.revision() > held.revision)?;
    match update.apply(held) {
        Ok(config) => Some(config),
        Err(e) => {
            event!(Warn, "config_update_rejected", error = e);
            None
        }
    }
}
