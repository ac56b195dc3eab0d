//! What this gateway sees of its upstreams' answers: evidence for the guard of roll-outs, and the pace
//! of the services.

use std::time::Duration;

use super::Gateway;
use super::call::Call;
use super::picture::Runner;
use crate::collections::Name;
use crate::peer::ReleaseStats;
use crate::policy::release_rollout::RouteStats;

impl Gateway {
    /// A first token came from an upstream with so much to read.
    pub(super) fn learn_pace(
        &self,
        service: &Name,
        model: Option<Name>,
        reading: u64,
        took: Duration,
    ) {
        let mut paces = self.paces.borrow_mut();
        let pace = paces.entry((service.clone(), model)).or_default();
        pace.record_sample(reading, took);
    }

    /// Time in which an upstream of the service reads so many tokens, as far as that is known.
    pub(super) fn forecast(
        &self,
        service: &Name,
        model: Option<Name>,
        reading: u64,
    ) -> Option<Duration> {
        let paces = self.paces.borrow();
        let own = paces.get(&(service.clone(), model));
        let own = own.and_then(|pace| pace.predict(reading));
        // The models' tokens are scaled to be alike; right after a start any of them is a guess.
        own.or_else(|| {
            let mut same = paces.iter().filter(|((of, _), _)| of == service);
            same.find_map(|(_, pace)| pace.predict(reading))
        })
    }

    /// An upstream answered, be it with a failure.
    pub(super) fn note_answer(&self, call: &Call, runner: &Runner, failed: bool, first: Duration) {
        self.note(call, runner, |seen| {
            seen.requests += 1;
            seen.failed += u64::from(failed);
            if !failed {
                seen.timed += 1;
                seen.latency_sum_s += first.as_secs_f64();
            }
        });
    }

    /// An upstream failed without an answer.
    pub(super) fn note_bad(&self, call: &Call, runner: &Runner) {
        self.note(call, runner, |seen| {
            seen.requests += 1;
            seen.failed += 1;
        });
    }

    /// Counts for the guard of roll-outs; outside one nobody asks.
    fn note(&self, call: &Call, runner: &Runner, count: impl FnOnce(&mut RouteStats)) {
        let Some(release) = &runner.announced.release else {
            return;
        };
        let picture = self.picture();
        let Some(service) = runner.service() else {
            return;
        };
        if picture
            .pool(service)
            .is_none_or(|pool| pool.new_share.is_none())
        {
            return;
        }
        let slot = (service.clone(), call.route.name.clone(), release.clone());
        count(self.seen.borrow_mut().entry(slot).or_default());
    }

    /// What was seen since the last time it was taken.
    pub(super) fn take_seen(&self) -> Vec<ReleaseStats> {
        self.seen
            .borrow_mut()
            .drain()
            .map(|((service, route, release), seen)| ReleaseStats {
                service,
                route,
                release,
                stats: seen,
            })
            .collect()
    }

    /// Puts back what could not be told.
    pub(super) fn restore_seen(&self, rows: Vec<ReleaseStats>) {
        let mut table = self.seen.borrow_mut();
        for row in rows {
            let slot = (row.service, row.route, row.release);
            table.entry(slot).or_default().add(&row.stats);
        }
    }
}
