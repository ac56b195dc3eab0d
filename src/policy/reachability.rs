//! Decides which upstreams to avoid because they refuse connections, and which reports of lost
//! upstreams to believe.
//!
//! Handles a crash of many upstreams in front of many gateways. If each gateway learned of each
//! crash by its own failed connections, a request would try one dead upstream after the other. An
//! upstream that refuses a connection has no process that listens, so one gateway's observation
//! holds for all. It expires soon, because the limit on an upstream's connections may show in the
//! same way. A restarted upstream is another incarnation with another number.
//!
//! Handles a gateway that is partitioned from upstreams, too: to it they look lost. A process that
//! has ended responds to nobody, so a later response to any gateway refutes a report that the
//! upstream refuses connections or has crashed. Gateways tell each other of such responses, and
//! ignore for a while a gateway of whose reports a good part were refuted.

use std::ops::RangeInclusive;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::agreement::Index;
use crate::collections::HashMap;
use crate::policy::placement::seeded_hash;

/// Time for which an upstream is avoided after it refused a connection of this process.
const OWN_REFUSAL_TTL: Duration = Duration::from_secs(1);

/// Time for which it is avoided after it refused a connection of another process. It is longer, so
/// that the few processes that observed the refusal try again before the others.
const REPORTED_REFUSAL_TTL: Duration = Duration::from_secs(2);

/// Time after a report in which a response may have been sent before the upstream was lost.
const RESPONSE_IN_TRANSIT: Duration = Duration::from_millis(100);

/// Time after a report in which no other process responds at the address of an upstream that was
/// lost. Later, a response may come from one that has replaced it.
const MIN_RESTART_TIME: Duration = Duration::from_secs(1);

/// Time for which a report tells whether its reporter is to be believed.
const REPORT_TTL: Duration = Duration::from_secs(5);

/// One gateway in so many goes on sending requests to an upstream that others report.
const VERIFIER_SPACING: u64 = 8;

/// Share of a reporter's reports that were refuted from which the others are not believed.
const DISTRUST_SHARE: f64 = 0.25;

/// Time for which a refutation holds against repeated reports of the same loss.
const REFUTATION_TTL: Duration = Duration::from_secs(10);

/// Time for which refutations are repeated to the other gateways, in case an update was lost.
const REPEAT_TTL: Duration = Duration::from_secs(2);

/// Maximum number of reporters, and of upstreams that are remembered in each table.
const REPORTER_LIMIT: usize = 1024;
const UPSTREAM_LIMIT: usize = 4096;

/// Maximum number of upstreams of each kind in one notice.
const NOTICE_LIMIT: usize = 256;

/// Message of one gateway on upstreams, for the others. Each row has the number of an incarnation
/// and an age.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notice {
    /// Upstreams that refused a connection, with the time since then.
    pub refusing: Vec<(Index, Duration)>,
    /// Upstreams of which a loss was reported and that have responded, with the time since the
    /// response.
    pub responding: Vec<(Index, Duration)>,
}

impl Notice {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.refusing.is_empty() && self.responding.is_empty()
    }

    /// Returns the number of numbers in it, by which its size is estimated.
    pub(crate) fn number_count(&self) -> usize {
        2 * (self.refusing.len() + self.responding.len())
    }
}

/// Responses that refuted reports of a loss.
#[derive(Clone, Copy, Debug)]
struct Refutation {
    /// Time from which on the upstream was not lost.
    alive_since: Duration,
    /// Last of the responses.
    responded_at: Duration,
    is_own: bool,
    is_published: bool,
}

/// Another process that has reported refusals lately.
#[derive(Clone, Debug, Default)]
struct Reporter {
    /// When it reported them, and whether they were refuted, by upstream.
    reports: HashMap<Index, (Duration, bool)>,
    /// Until when it is not believed.
    distrusted_until: Duration,
}

impl Reporter {
    fn is_distrusted(&self, now: Duration) -> bool {
        now < self.distrusted_until
    }

    /// Stops to believe it if enough of its recent reports were refuted that it is rather the one that
    /// is cut off. Most of them can't be refuted while the upstreams get no requests.
    fn judge(&mut self, now: Duration) {
        if self.is_distrusted(now + REPORT_TTL / 2) {
            return;
        }
        let recent = self.reports.values();
        let recent = recent.filter(|(at, _)| now < *at + REPORT_TTL);
        let (total, refuted) = recent.fold((0_u32, 0_u32), |(total, refuted), (_, is_refuted)| {
            (total + 1, refuted + u32::from(*is_refuted))
        });
        if refuted > 0 && f64::from(refuted) >= DISTRUST_SHARE * f64::from(total) {
            self.distrusted_until = now + REPORT_TTL;
        }
    }
}

/// What is known of the upstreams that refused connections or seem to have crashed, by the number of
/// their incarnation.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    /// Differs between the gateways.
    run_id: u64,
    /// Upstreams that refused a connection of this process, and until when they are avoided.
    refused_until: HashMap<Index, Duration>,
    /// The same for refusals that others have reported, with the reporter.
    reported_until: HashMap<Index, (u64, Duration)>,
    /// When an upstream was observed or reported to be lost: the first time in
    /// [`MIN_RESTART_TIME`], and the last.
    losses: HashMap<Index, (Duration, Duration)>,
    /// When upstreams last responded to this process.
    responses: HashMap<Index, Duration>,
    refutations: HashMap<Index, Refutation>,
    /// Reports by the run id of the reporter.
    reporters: HashMap<u64, Reporter>,
    /// This process's own observations that others have not been told of yet.
    unpublished: Vec<(Index, Duration)>,
}

impl Reachability {
    /// Creates the state of the gateway with that run id.
    pub fn new(run_id: u64) -> Self {
        Self {
            run_id,
            ..Self::default()
        }
    }

    /// Records that an upstream refused a connection of this process.
    pub fn record_refusal(&mut self, upstream: Index, now: Duration) {
        if !self.is_avoided(upstream, now) && self.unpublished.len() < NOTICE_LIMIT {
            self.unpublished.push((upstream, now));
        }
        self.refused_until.insert(upstream, now + OWN_REFUSAL_TTL);
        self.record_loss(upstream, now);
    }

    /// Applies what the gateway with the run id `reporter` has told. Returns the upstreams that have
    /// responded since their loss was reported.
    pub fn apply(&mut self, reporter: u64, notice: &Notice, now: Duration) -> Vec<Index> {
        for &(upstream, age) in notice.refusing.iter().take(NOTICE_LIMIT) {
            self.record_reported_refusal(reporter, upstream, now.saturating_sub(age), now);
        }
        let mut refuted = Vec::new();
        for &(upstream, age) in notice.responding.iter().take(NOTICE_LIMIT) {
            let responded_at = now.saturating_sub(age);
            if self.refute(upstream, responded_at, false) {
                refuted.push(upstream);
            }
        }
        refuted
    }

    /// Records that an upstream refused a connection of another process at `at`.
    fn record_reported_refusal(
        &mut self,
        reporter: u64,
        upstream: Index,
        at: Duration,
        now: Duration,
    ) {
        let is_refuted = self.record_loss(upstream, at);
        let has_room = self.reporters.len() < REPORTER_LIMIT;
        if !has_room && !self.reporters.contains_key(&reporter) {
            return;
        }
        let known = self.reporters.entry(reporter).or_default();
        if known.reports.len() < UPSTREAM_LIMIT || known.reports.contains_key(&upstream) {
            known.reports.insert(upstream, (at, is_refuted));
        }
        if is_refuted {
            known.judge(now);
        }
        let is_distrusted = known.is_distrusted(now);
        let has_responded = self.responses.get(&upstream).is_some_and(|&r| r > at);
        if is_refuted || has_responded || is_distrusted || self.verifies(upstream) {
            return;
        }
        self.reported_until
            .insert(upstream, (reporter, now + REPORTED_REFUSAL_TTL));
    }

    /// Records that an upstream seems to have been lost at `at`. Returns whether a response refutes
    /// that.
    pub fn record_loss(&mut self, upstream: Index, at: Duration) -> bool {
        let alive = self.alive_during(upstream);
        if alive.is_some_and(|alive| alive.contains(&at)) {
            return true;
        }
        if self.losses.len() < UPSTREAM_LIMIT || self.losses.contains_key(&upstream) {
            // Frequent reports must not leave responses no time to refute one of them.
            let (first, last) = self.losses.entry(upstream).or_insert((at, at));
            *last = at.max(*last);
            if at >= *first + MIN_RESTART_TIME {
                *first = at;
            }
        }
        let response = self.responses.get(&upstream).copied();
        response.is_some_and(|responded_at| self.refute(upstream, responded_at, true))
    }

    /// Records a response of an upstream, which proves that it can be reached. Returns whether it
    /// refutes a report that the upstream was lost.
    pub fn record_response(&mut self, upstream: Index, now: Duration) -> bool {
        self.refused_until.remove(&upstream);
        self.reported_until.remove(&upstream);
        if self.responses.len() < UPSTREAM_LIMIT || self.responses.contains_key(&upstream) {
            self.responses.insert(upstream, now);
        }
        self.refute(upstream, now, true)
    }

    /// Returns whether an upstream is to be avoided.
    pub fn is_avoided(&self, upstream: Index, now: Duration) -> bool {
        let reported = self.reported_until.get(&upstream);
        self.is_refusing(upstream, now) || reported.is_some_and(|&(_, until)| now < until)
    }

    /// Returns whether an upstream has refused a connection of this process lately.
    pub fn is_refusing(&self, upstream: Index, now: Duration) -> bool {
        let until = self.refused_until.get(&upstream);
        until.is_some_and(|&until| now < until)
    }

    /// Returns the time in which an upstream was alive though it was reported to be lost.
    pub fn alive_during(&self, upstream: Index) -> Option<RangeInclusive<Duration>> {
        let refutation = self.refutations.get(&upstream)?;
        let until = refutation.responded_at.saturating_sub(RESPONSE_IN_TRANSIT);
        Some(refutation.alive_since..=until)
    }

    /// Returns whether there is news for the other gateways.
    pub fn has_news(&self) -> bool {
        let mut refutations = self.refutations.values();
        !self.unpublished.is_empty() || refutations.any(|r| r.is_own && !r.is_published)
    }

    /// Returns what the other processes are to be told, and marks it as told. A full notice repeats
    /// recent refutations.
    pub fn next_notice(&mut self, is_full: bool, now: Duration) -> Notice {
        let age = |at: Duration| now.saturating_sub(at);
        let refusing = std::mem::take(&mut self.unpublished);
        let mut responding = Vec::new();
        for (&upstream, refutation) in &mut self.refutations {
            let is_recent = now <= refutation.responded_at + REPEAT_TTL;
            let is_due = !refutation.is_published || is_full && is_recent;
            if refutation.is_own && is_due && responding.len() < NOTICE_LIMIT {
                refutation.is_published = true;
                responding.push((upstream, age(refutation.responded_at)));
            }
        }
        Notice {
            refusing: refusing.into_iter().map(|(u, at)| (u, age(at))).collect(),
            responding,
        }
    }

    /// Forgets what no longer counts.
    pub fn remove_expired(&mut self, now: Duration) {
        self.refused_until.retain(|_, until| now < *until);
        self.reported_until.retain(|_, (_, until)| now < *until);
        self.losses.retain(|_, (_, last)| now < *last + REPORT_TTL);
        self.responses.retain(|_, at| now < *at + REPORT_TTL);
        self.refutations
            .retain(|_, refutation| now < refutation.responded_at + REFUTATION_TTL);
        self.reporters.retain(|_, reporter| {
            reporter.reports.retain(|_, (at, _)| now < *at + REPORT_TTL);
            !reporter.reports.is_empty() || reporter.is_distrusted(now)
        });
    }

    /// Uses a response against the report that its upstream was lost; returns whether it refutes it.
    fn refute(&mut self, upstream: Index, responded_at: Duration, is_own: bool) -> bool {
        let Some(&(first, last)) = self.losses.get(&upstream) else {
            return false;
        };
        let refuting = first + RESPONSE_IN_TRANSIT..first + MIN_RESTART_TIME;
        if !refuting.contains(&responded_at) {
            return false;
        }
        if last + RESPONSE_IN_TRANSIT > responded_at {
            self.losses.insert(upstream, (last, last));
        } else {
            self.losses.remove(&upstream);
        }
        let since = responded_at.saturating_sub(MIN_RESTART_TIME);
        let former = self.refutations.get(&upstream);
        let former = former.filter(|former| former.responded_at >= since);
        let refutation = Refutation {
            alive_since: former.map_or(since, |former| former.alive_since.min(since)),
            responded_at,
            is_own,
            is_published: !is_own,
        };
        self.refutations.insert(upstream, refutation);
        self.reported_until.remove(&upstream);
        let mut distrusted = Vec::new();
        for (&run_id, reporter) in &mut self.reporters {
            let Some((reported_at, is_refuted)) = reporter.reports.get_mut(&upstream) else {
                continue;
            };
            if *is_refuted || !(since..=responded_at).contains(reported_at) {
                continue;
            }
            *is_refuted = true;
            reporter.judge(responded_at);
            if reporter.is_distrusted(responded_at) {
                distrusted.push(run_id);
            }
        }
        if !distrusted.is_empty() {
            self.reported_until
                .retain(|_, (run_id, _)| !distrusted.contains(run_id));
        }
        true
    }

    /// Returns whether this gateway doesn't avoid an upstream on the word of others. If all did, no
    /// response could refute a report.
    fn verifies(&self, upstream: Index) -> bool {
        seeded_hash(&upstream, self.run_id).is_multiple_of(VERIFIER_SPACING)
    }
}
