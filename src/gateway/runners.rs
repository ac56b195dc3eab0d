//! What this gateway knows of each upstream by its own requests.

use std::rc::Rc;
use std::time::Duration;

use http::HeaderMap;

use super::Gateway;
use super::picture::Runner;
use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::collections::Name;
use crate::policy::placement::Spot;
use crate::policy::placement::stable_id;
use crate::upstream::Circuit;
use crate::upstream::Health;
use crate::upstream::InFlight;

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
    incarnation: u64,
    health: Health,
    own: InFlight,
    report: Option<Report>,
    /// Requests of the other gateways there, as the leader last told.
    others: u32,
}

/// The table of upstreams.
#[derive(Debug, Default)]
pub(super) struct Runners {
    rows: HashMap<Name, Row>,
    silent: HashSet<Name>,
}

impl Runners {
    fn row(&mut self, runner: &Runner) -> &mut Row {
        let row = self.rows.entry(runner.id().clone()).or_default();
        let incarnation = runner.announced.incarnation;
        if row.incarnation != incarnation {
            // A new start holds nothing and has failed nobody yet.
            *row = Row {
                incarnation,
                ..Row::default()
            };
        }
        row
    }

    /// Forgets upstreams that `keep` refuses.
    pub(super) fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.rows.retain(|id, row| row.own.count() > 0 || keep(id));
    }

    /// Takes the upstreams that the leader has not heard for a while.
    pub(super) fn set_silent(&mut self, silent: HashSet<Name>) {
        self.silent = silent;
    }

    /// Takes the number of other gateways' requests at an upstream.
    pub(super) fn set_others(&mut self, id: &Name, others: u32) {
        if let Some(row) = self.rows.get_mut(id) {
            row.others = others;
        }
    }

    /// This gateway's requests at each upstream.
    pub(super) fn in_flight(&self) -> impl Iterator<Item = (&Name, u32)> + '_ {
        self.rows.iter().map(|(id, row)| (id, row.own.count()))
    }

    /// An upstream as the placement sees it.
    pub(super) fn spot(
        &self,
        runner: &Runner,
        data_centre: &Name,
        tried: bool,
        now: Duration,
    ) -> Spot {
        let row = self
            .rows
            .get(runner.id())
            .filter(|row| row.incarnation == runner.announced.incarnation);
        let slots = f64::from(runner.announced.slots.max(1));
        Spot {
            id: stable_id(runner.id()),
            load: row.map_or(0.0, |row| row.expected(now)) / slots,
            near: runner.announced.data_centre == *data_centre,
            circuit: row.map_or(Circuit::Closed, |row| row.health.circuit(now)),
            tried,
            silent: self.silent.contains(runner.id()),
        }
    }
}

impl Row {
    /// Requests that are probably there now: the others' and our own, or what the upstream said
    /// lately and we have sent since.
    fn expected(&self, now: Duration) -> f64 {
        let own = f64::from(self.own.count());
        let counted = own + f64::from(self.others);
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
pub(super) struct Work {
    gateway: Rc<Gateway>,
    pub(super) runner: Runner,
    started: Duration,
    told: bool,
}

impl Work {
    pub(super) fn start(gateway: &Rc<Gateway>, runner: Runner) -> Self {
        let started = gateway.now();
        let mut runners = gateway.runners.borrow_mut();
        let row = runners.row(&runner);
        row.own.add(started);
        row.health.started();
        drop(runners);
        Self {
            gateway: gateway.clone(),
            runner,
            started,
            told: false,
        }
    }

    /// Time since it was sent.
    pub(super) fn elapsed(&self) -> Duration {
        self.gateway.now().saturating_sub(self.started)
    }

    /// The head of an answer has come. The upstream was there, whatever it answered.
    pub(super) fn answered(&mut self) {
        let first = self.elapsed();
        self.tell(|health, _| health.succeeded(first));
    }

    /// The attempt failed by the upstream's fault.
    pub(super) fn failed(&mut self) {
        self.tell(|health, now| health.failed(now));
    }

    fn tell(&mut self, tell: impl FnOnce(&mut Health, Duration)) {
        if self.told {
            return;
        }
        self.told = true;
        let now = self.gateway.now();
        let mut runners = self.gateway.runners.borrow_mut();
        tell(&mut runners.row(&self.runner).health, now);
    }

    /// Takes the load that the upstream tells with its answer.
    pub(super) fn report(&self, headers: &HeaderMap) {
        let names = &self.gateway.cfg.names;
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

impl Drop for Work {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let mut runners = self.gateway.runners.borrow_mut();
        let row = runners.row(&self.runner);
        row.own.remove(now);
        if !self.told {
            row.health.abandoned();
        }
    }
}
