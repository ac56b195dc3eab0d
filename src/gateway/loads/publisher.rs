//! What one gateway has to publish.

use std::time::Duration;

use super::FULL_INTERVAL;
use super::Update;
use super::Work;
use crate::agreement::Index;
use crate::collections::HashMap;
use crate::gateway::Gateway;
use crate::policy::sessions::Assignment;

#[derive(Default)]
pub(super) struct Publisher {
    seq: u64,
    published: HashMap<Index, Work>,
    full_at: Option<Duration>,
    /// Sessions published since the last full update; the next one repeats them.
    sessions: Vec<Assignment>,
}

impl Publisher {
    /// The next update; `None` where nothing has changed.
    pub(super) fn next_update(&mut self, gateway: &Gateway) -> Option<Update> {
        let now = gateway.now();
        let all = self.full_at.is_none_or(|at| now >= at + FULL_INTERVAL);
        let work = gateway.runners.borrow().own_work();
        let rows = self.rows(&work, all);
        let news = gateway.sessions.borrow_mut().take_unpublished();
        if rows.is_empty() && news.is_empty() && !all {
            return None;
        }
        self.seq += 1;
        self.sessions.extend_from_slice(&news);
        let sessions = if all {
            self.full_at = Some(now);
            std::mem::take(&mut self.sessions)
        } else {
            news
        };
        Some(Update {
            run: gateway.run,
            seq: self.seq,
            all,
            rows,
            sessions,
        })
    }

    /// Rows to publish, and notes that they have been.
    fn rows(&mut self, work: &HashMap<Index, Work>, all: bool) -> Vec<(Index, Work)> {
        if all {
            self.published.clone_from(work);
            return work.iter().map(|(&n, &w)| (n, w)).collect();
        }
        let mut rows = Vec::new();
        for (&number, work) in work {
            let published = self.published.entry(number).or_default();
            if work.differs(published) {
                *published = *work;
                rows.push((number, *work));
            }
        }
        for (&number, published) in &mut self.published {
            if !work.contains_key(&number) && *published != Work::default() {
                *published = Work::default();
                rows.push((number, Work::default()));
            }
        }
        rows
    }
}
