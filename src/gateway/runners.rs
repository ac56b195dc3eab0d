//! What this gateway knows of each upstream by its own requests.

use std::rc::Rc;
use std::time::Duration;

use http::HeaderMap;

use super::Gateway;
use super::loads::Others;
use super::loads::Work;
use super::picture::Runner;
use crate::agreement::Index;
use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::collections::Name;
use crate::policy::placement::Candidate;
use crate::policy::placement::stable_hash;
use crate::policy::timeouts;
use crate::policy::timeouts::QueueProgress;
use crate::upstream::Circuit;
use crate::upstream::Health;
use crate::upstream::InFlightHistory;

/// Age at which a reported load says nothing any more.
const REPORT_FADES: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
struct Report {
    busy: u32,
    at: Duration,
    own_then: u32,
}

#[derive(Debug, Default)]
struct Row {
    number: Index,
    health: Health,
    own: InFlightHistory,
    report: Option<Report>,
    work: Work,
    progress: QueueProgress,
}

/// The table of upstreams.
#[derive(Debug, Default)]
pub(super) struct Runners {
    rows: HashMap<Name, Row>,
    silent: HashSet<Index>,
}

impl Runners {
    fn row(&mut self, runner: &Runner) -> &mut Row {
        let new = || Row {
            number: runner.number,
            ..Row::default()
        };
        let row = self.rows.entry(runner.id().clone()).or_insert_with(new);
        if row.number != runner.number {
            // A new start holds nothing and has failed nobody yet.
            *row = new();
        }
        row
    }

    /// Forgets upstreams that `keep` refuses.
    pub(super) fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.rows.retain(|id, row| row.own.count() > 0 || keep(id));
    }

    /// Takes the upstreams that the leader has not heard for a while.
    pub(super) fn set_silent(&mut self, silent: &[Index]) {
        self.silent = silent.iter().copied().collect();
    }

    /// This gateway's work at each upstream that has any.
    pub(super) fn own_work(&self) -> HashMap<Index, Work> {
        let busy = self.rows.values().filter(|row| row.work.requests > 0);
        busy.map(|row| (row.number, row.work)).collect()
    }

    /// An upstream as the placement sees it.
    pub(super) fn spot(&self, runner: &Runner, view: &View<'_>, tried: bool) -> Candidate {
        let now = view.now;
        let row = self
            .rows
            .get(runner.id())
            .filter(|row| row.number == runner.number);
        let slots = f64::from(runner.announced.slots.max(1));
        let mut work = view.others.at(runner.number);
        let others = work.requests;
        if let Some(row) = row {
            work.add(&row.work);
        }
        Candidate {
            id: stable_hash(runner.id()),
            load: row.map_or(f64::from(others), |row| row.expected(others, now)) / slots,
            prefill_tokens: work.reading,
            kv_cache_use: work.held as f64 / view.memory.unwrap_or(u64::MAX).max(1) as f64,
            is_local: runner.announced.data_centre == *view.data_centre,
            circuit: row.map_or(Circuit::Closed, |row| row.health.circuit(now)),
            was_tried: tried,
            is_suspect: runner.silent || self.silent.contains(&runner.number),
        }
    }
}

/// What the choice of an upstream looks at beside the table.
pub(super) struct View<'a> {
    pub(super) others: &'a Others,
    pub(super) data_centre: &'a Name,
    /// Tokens that an upstream's memory holds, where that is known.
    pub(super) memory: Option<u64>,
    pub(super) now: Duration,
}

impl Row {
    /// Requests that are probably there now: the others' and our own, or what the upstream said
    /// lately and we have sent since.
    fn expected(&self, others: u32, now: Duration) -> f64 {
        let own = f64::from(self.own.count());
        let counted = own + f64::from(others);
        let Some(report) = self.report else {
            return counted;
        };
        let age = now.saturating_sub(report.at);
        if age >= REPORT_FADES {
            return counted;
        }
        let since = own - f64::from(report.own_then);
        (f64::from(report.busy) + since).max(own)
    }
}

/// A request of this gateway's at an upstream. Dropping it without a result counts as neither
/// success nor failure.
pub(super) struct Sent {
    gateway: Rc<Gateway>,
    pub(super) runner: Runner,
    started: Duration,
    settled: bool,
    work: Work,
    model: Option<Name>,
    rank: usize,
    /// Tokens that the upstream had to read when it was sent, its own included.
    ahead: u64,
    /// Requests there when it was sent, as a share of its slots.
    load: f64,
}

impl Sent {
    pub(super) fn start(
        gateway: &Rc<Gateway>,
        runner: Runner,
        model: Option<Name>,
        rank: u32,
        work: Work,
    ) -> Self {
        let started = gateway.now();
        let mut runners = gateway.runners.borrow_mut();
        let others = gateway.others.borrow().at(runner.number);
        let slots = f64::from(runner.announced.slots.max(1));
        let row = runners.row(&runner);
        let load = row.expected(others.requests, started) / slots;
        row.own.increment(started);
        row.health.record_start();
        row.work.add(&work);
        let ahead = row.work.reading.saturating_add(others.reading);
        drop(runners);
        gateway.work_changed.notify_one();
        Self {
            gateway: gateway.clone(),
            runner,
            started,
            settled: false,
            work,
            model,
            rank: rank as usize,
            ahead,
            load,
        }
    }

    /// How long after its sending the upstream may be silent before it counts as hanging.
    pub(super) fn patience(&self, target: Duration) -> Duration {
        let service = self.runner.service();
        let reading = service.and_then(|service| {
            let model = self.model.clone();
            self.gateway.forecast(service, model, self.ahead)
        });
        timeouts::response_head(target, self.load, reading)
    }

    /// Whether it is still queued at an upstream that does not hang.
    pub(super) fn is_queued(&self, target: Duration) -> bool {
        let runners = self.gateway.runners.borrow();
        let row = runners.rows.get(self.runner.id());
        row.is_some_and(|row| row.progress.is_queued(self.rank, self.started, target))
    }

    /// Its first token has come.
    pub(super) fn first_token(&self) {
        let now = self.gateway.now();
        let mut runners = self.gateway.runners.borrow_mut();
        let row = runners.row(&self.runner);
        row.progress.record_response(self.rank, self.started, now);
        drop(runners);
        if let Some(service) = self.runner.service() {
            let first = self.elapsed();
            let model = self.model.clone();
            self.gateway.learn_pace(service, model, self.ahead, first);
        }
    }

    /// Its prompt has been read.
    fn read(&mut self) {
        let reading = std::mem::take(&mut self.work.reading);
        if reading > 0 {
            let mut runners = self.gateway.runners.borrow_mut();
            let row = runners.row(&self.runner);
            row.work.reading = row.work.reading.saturating_sub(reading);
            drop(runners);
            self.gateway.work_changed.notify_one();
        }
    }

    /// Time since it was sent.
    pub(super) fn elapsed(&self) -> Duration {
        self.gateway.now().saturating_sub(self.started)
    }

    /// The head of an answer has come. The upstream was there, whatever it answered.
    pub(super) fn answered(&mut self) {
        let first = self.elapsed();
        self.read();
        self.settle(|health, _| health.record_success(first));
    }

    /// The attempt failed by the upstream's fault.
    pub(super) fn failed(&mut self) {
        self.settle(|health, now| health.record_failure(now));
    }

    fn settle(&mut self, note: impl FnOnce(&mut Health, Duration)) {
        if self.settled {
            return;
        }
        self.settled = true;
        let now = self.gateway.now();
        let mut runners = self.gateway.runners.borrow_mut();
        note(&mut runners.row(&self.runner).health, now);
    }

    /// Takes the load that the upstream tells with its answer.
    pub(super) fn report(&self, headers: &HeaderMap) {
        let names = &self.gateway.cfg.header_names;
        let Some(text) = headers.get(&names.load).and_then(|v| v.to_str().ok()) else {
            return;
        };
        let mut figures = text.split(',').map(|figure| figure.trim().parse::<u32>());
        let (Some(Ok(running)), Some(Ok(waiting))) = (figures.next(), figures.next()) else {
            return;
        };
        let at = self.gateway.now();
        let mut runners = self.gateway.runners.borrow_mut();
        let row = runners.row(&self.runner);
        row.report = Some(Report {
            busy: running.saturating_add(waiting),
            at,
            own_then: row.own.count(),
        });
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let mut runners = self.gateway.runners.borrow_mut();
        let row = runners.row(&self.runner);
        row.own.decrement(now);
        row.work.requests = row.work.requests.saturating_sub(self.work.requests);
        row.work.reading = row.work.reading.saturating_sub(self.work.reading);
        row.work.held = row.work.held.saturating_sub(self.work.held);
        if !self.settled {
            row.health.record_cancelled();
        }
        drop(runners);
        self.gateway.work_changed.notify_one();
    }
}
