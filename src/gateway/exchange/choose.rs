//! Which upstream an attempt goes to, and how long it is waited for.

use std::time::Duration;

use super::Exchange;
use crate::collections::Name;
use crate::gateway::loads::Others;
use crate::gateway::picture::Picture;
use crate::gateway::picture::Pool;
use crate::gateway::picture::Runner;
use crate::gateway::runners::View;
use crate::policy::patience;
use crate::policy::placement;
use crate::policy::placement::Need;
use crate::policy::placement::Spot;
use crate::policy::release::TRIAL_SHARE;

impl Exchange {
    /// How long the upstream may be silent; `None` where the request can't go elsewhere.
    pub(super) fn patience(&self, runner: &Runner) -> Option<Duration> {
        let route = &self.call.route;
        if !route.may_rerun() || self.runs >= route.attempts {
            return None;
        }
        let runners = self.gateway.runners.borrow();
        let others = self.gateway.others.borrow();
        let load = runners.spot(runner, &self.view(&others, None), false).load;
        Some(patience::head(route.target(), load))
    }

    fn view<'a>(&'a self, others: &'a Others, memory: Option<u64>) -> View<'a> {
        View {
            others,
            data_centre: &self.gateway.cfg.data_centre,
            memory,
            now: self.gateway.now(),
        }
    }

    /// The upstream of the next attempt; `None` where all have been tried.
    pub(super) fn place(&self, service: &Name) -> Option<Runner> {
        let gateway = &self.gateway;
        let picture = gateway.picture();
        let pool = picture.pool(service)?;
        let wants_new = self.side(pool);
        let need = self.need(&picture, service);
        let memory = picture.engine(service).map(|engine| engine.cache_tokens);
        let runners = gateway.runners.borrow();
        let others = gateway.others.borrow();
        let view = self.view(&others, memory);
        let choose = |wants_new: Option<bool>| -> Option<Runner> {
            let fitting: Vec<&Runner> = pool
                .runners
                .iter()
                .filter(|runner| wants_new.is_none_or(|new| new == runner.is_new))
                .collect();
            let spots: Vec<Spot> = fitting
                .iter()
                .map(|runner| runners.spot(runner, &view, self.tried.contains(runner.id())))
                .collect();
            let may_probe = self.call.route.may_rerun();
            let rng = &mut *gateway.rng.borrow_mut();
            let i = placement::place(&spots, need, may_probe, rng)?;
            Some(fitting[i].clone())
        };
        choose(wants_new).or_else(|| {
            // The settled release may serve what the new one can't, never the other way round.
            (wants_new == Some(true)).then(|| choose(Some(false)))?
        })
    }

    /// Whether the request goes to the release that is being rolled out; `None` outside a roll-out.
    fn side(&self, pool: &Pool) -> Option<bool> {
        let id = self.call.session_id();
        let draw = id as f64 / u64::MAX as f64;
        if self.call.session.is_none() {
            return pool.new_share.map(|share| draw < share);
        }
        let gateway = &self.gateway;
        let now = gateway.now();
        let mut sessions = gateway.sessions.borrow_mut();
        let side = sessions.side(id, draw, pool.new_share, pool.on_trial, now);
        drop(sessions);
        if draw < TRIAL_SHARE {
            gateway.work_changed.notify_one();
        }
        pool.new_share.map(|_| side)
    }

    /// What the prompt asks of an upstream; `None` for a request without one.
    fn need(&self, picture: &Picture, service: &Name) -> Option<Need> {
        if !self.call.route.affinity {
            return None;
        }
        let prompt = &self.call.prompt;
        let slowness = self
            .model_name()
            .map_or(1.0, |model| picture.slowness(service, &model));
        Some(Need {
            shared: prompt.shared(),
            shared_reading: (prompt.shared_tokens() as f64 * slowness) as u64,
        })
    }
}
