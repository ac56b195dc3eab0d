//! Decides which release of a service a session uses during a rollout.
//!
//! Handles short sessions that begin all the time and whose requests arrive at several gateways. A
//! session that began on the stable release stays there during the trial stage, the first half of a
//! rollout, and one that began on the new release stays on it. No gateway sees all requests of a
//! session, so gateways publish the assignments of the few sessions that the trial may include.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::release_rollout::TRIAL_SHARE;
use crate::collections::HashMap;

/// Time after a session's last request until it may be assigned anew: longer than any request and
/// than the pause after which deployments count a session as ended.
const ASSIGNMENT_TTL: Duration = Duration::from_secs(40);

/// Assignments that are kept; sessions beyond them stay on the stable release.
const ASSIGNMENT_LIMIT: usize = 50_000;

/// The release that a session uses.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Assignment {
    /// Hash of the session, the same at all gateways.
    pub session: u64,
    /// Whether it uses the new release.
    pub is_new: bool,
}

#[derive(Debug)]
struct Row {
    is_new: bool,
    last_used: Duration,
}

/// Assignments of the sessions that the trial of a release may include.
#[derive(Debug, Default)]
pub struct Sessions {
    rows: HashMap<u64, Row>,
    unpublished: Vec<Assignment>,
}

impl Sessions {
    /// Assigns a session to a release and returns whether it is the new one.
    ///
    /// `draw` is a fixed value of the session, uniform from 0 to 1. `share` is the new release's
    /// share of the traffic, `None` outside a rollout, and `on_trial` is whether the rollout is in
    /// its trial stage.
    pub fn assign(
        &mut self,
        session: u64,
        draw: f64,
        share: Option<f64>,
        on_trial: bool,
        now: Duration,
    ) -> bool {
        let is_new = self.would_use_new(session, draw, share, on_trial, now);
        if draw >= TRIAL_SHARE {
            return is_new;
        }
        if self
            .known(session, now)
            .is_none_or(|row| row.is_new != is_new)
        {
            self.unpublished.push(Assignment { session, is_new });
        }
        self.rows.insert(
            session,
            Row {
                is_new,
                last_used: now,
            },
        );
        is_new
    }

    /// Returns what [`Self::assign`] would return, without an assignment.
    pub fn would_use_new(
        &self,
        session: u64,
        draw: f64,
        share: Option<f64>,
        on_trial: bool,
        now: Duration,
    ) -> bool {
        let is_drawn = share.is_some_and(|share| draw < share);
        if draw >= TRIAL_SHARE {
            return is_drawn;
        }
        match self.known(session, now) {
            Some(row) if on_trial => row.is_new,
            None if self.rows.len() >= ASSIGNMENT_LIMIT => false,
            _ => is_drawn,
        }
    }

    fn known(&self, session: u64, now: Duration) -> Option<&Row> {
        let row = self.rows.get(&session)?;
        (now < row.last_used + ASSIGNMENT_TTL).then_some(row)
    }

    /// Merges assignments of another gateway. An assignment that is known already wins.
    pub fn merge(&mut self, assignments: &[Assignment], now: Duration) {
        for assignment in assignments {
            if self.rows.len() >= ASSIGNMENT_LIMIT {
                return;
            }
            let row = self.rows.entry(assignment.session).or_insert(Row {
                is_new: assignment.is_new,
                last_used: now,
            });
            row.last_used = now;
        }
    }

    /// Takes the assignments that the other gateways have not received yet.
    pub fn take_unpublished(&mut self) -> Vec<Assignment> {
        std::mem::take(&mut self.unpublished)
    }

    /// Removes the assignments of sessions that have ended.
    pub fn remove_expired(&mut self, now: Duration) {
        self.rows
            .retain(|_, row| now < row.last_used + ASSIGNMENT_TTL);
    }
}
