//! What one gateway has to tell.

use std::time::Duration;

use super::TELL_ALL;
use super::Telling;
use super::Work;
use crate::agreement::Index;
use crate::collections::HashMap;
use crate::gateway::Gateway;
use crate::policy::sessions::Side;

#[derive(Default)]
pub(super) struct Teller {
    seq: u64,
    told: HashMap<Index, Work>,
    told_all: Option<Duration>,
    /// Sessions told since everything was told; they are told once more with it.
    sessions: Vec<Side>,
}

impl Teller {
    /// The next telling; `None` where nothing has changed.
    pub(super) fn tell(&mut self, gateway: &Gateway) -> Option<Telling> {
        let now = gateway.now();
        let all = self.told_all.is_none_or(|at| now >= at + TELL_ALL);
        let work = gateway.runners.borrow().own_work();
        let rows = self.rows(&work, all);
        let news = gateway.sessions.borrow_mut().take_news();
        if rows.is_empty() && news.is_empty() && !all {
            return None;
        }
        self.seq += 1;
        self.sessions.extend_from_slice(&news);
        let sessions = if all {
            self.told_all = Some(now);
            std::mem::take(&mut self.sessions)
        } else {
            news
        };
        Some(Telling {
            run: gateway.run,
            seq: self.seq,
            all,
            rows,
            sessions,
        })
    }

    /// What to tell, and notes that it has been told.
    fn rows(&mut self, work: &HashMap<Index, Work>, all: bool) -> Vec<(Index, Work)> {
        if all {
            self.told.clone_from(work);
            return work.iter().map(|(&n, &w)| (n, w)).collect();
        }
        let mut rows = Vec::new();
        for (&number, work) in work {
            let told = self.told.entry(number).or_default();
            if work.differs(told) {
                *told = *work;
                rows.push((number, *work));
            }
        }
        for (&number, told) in &mut self.told {
            if !work.contains_key(&number) && *told != Work::default() {
                *told = Work::default();
                rows.push((number, Work::default()));
            }
        }
        rows
    }
}
