//! Which release a session is on while a new one is tried.
//!
//! Load pattern that this answers: short sessions begin all the time, each over several gateways.
//!
//! A session that began on the settled release stays there for the first half of a roll-out, and one
//! that began on the new release stays with it. No gateway sees all requests of a session, so they
//! tell each other of the few sessions that the trial could choose.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::release_rollout::TRIAL_SHARE;
use crate::collections::HashMap;

/// Time after its last request after which a session may be chosen anew: longer than any request
/// and the pause after which deployments count a session as ended.
const KEPT: Duration = Duration::from_secs(40);

/// Sessions that are remembered; beyond it, new ones stay on the settled release.
const LIMIT: usize = 50_000;

/// A session and the side that it is on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Assignment {
    /// Identity, the same at all gateways.
    pub session: u64,
    /// Whether it is on the new release.
    pub is_new: bool,
}

#[derive(Debug)]
struct Row {
    is_new: bool,
    used: Duration,
}

/// Sessions that the trial of a release could choose.
#[derive(Debug, Default)]
pub struct Sessions {
    rows: HashMap<u64, Row>,
    news: Vec<Assignment>,
}

impl Sessions {
    /// The side of a session whose draw is `draw`, where the new release gets `share` and is still
    /// on trial or not. Remembers the side and tells the others.
    pub fn assign(
        &mut self,
        session: u64,
        draw: f64,
        share: Option<f64>,
        on_trial: bool,
        now: Duration,
    ) -> bool {
        let drawn = share.is_some_and(|share| draw < share);
        if draw >= TRIAL_SHARE {
            return drawn;
        }
        let known = self.rows.get(&session).filter(|row| now < row.used + KEPT);
        let is_new = match known {
            Some(row) if on_trial => row.is_new,
            None if self.rows.len() >= LIMIT => false,
            _ => drawn,
        };
        if known.is_none_or(|row| row.is_new != is_new) {
            self.news.push(Assignment { session, is_new });
        }
        self.rows.insert(session, Row { is_new, used: now });
        is_new
    }

    /// Takes what another gateway told. The side that a session is on at first wins.
    pub fn merge(&mut self, sides: &[Assignment], now: Duration) {
        for side in sides {
            if self.rows.len() >= LIMIT {
                return;
            }
            let row = self.rows.entry(side.session).or_insert(Row {
                is_new: side.is_new,
                used: now,
            });
            row.used = now;
        }
    }

    /// What the others have not been told.
    pub fn take_unpublished(&mut self) -> Vec<Assignment> {
        std::mem::take(&mut self.news)
    }

    /// Forgets sessions that have ended.
    pub fn remove_expired(&mut self, now: Duration) {
        self.rows.retain(|_, row| now < row.used + KEPT);
    }
}
