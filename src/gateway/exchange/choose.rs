//! Which upstream an attempt goes to, and how long it is waited for.

use super::Exchange;
use crate::collections::Name;
use crate::gateway::attempt::burden;
use crate::gateway::loads::Others;
use crate::gateway::picture::Picture;
use crate::gateway::picture::Pool;
use crate::gateway::picture::Runner;
use crate::gateway::runners::View;
use crate::policy::escalation::TtftForecast;
use crate::policy::placement;
use crate::policy::placement::Candidate;
use crate::policy::placement::SharedPrefix;
use crate::policy::release_rollout::TRIAL_SHARE;

impl Exchange {
    /// Whether the request may go elsewhere if its upstream is silent.
    pub(super) fn may_fail_over(&self) -> bool {
        let route = &self.call.route;
        route.is_safe_to_retry() && self.runs < route.attempts
    }

    /// When `model` would answer, as far as that is known.
    pub(super) fn outlook(&self, model: usize) -> Option<TtftForecast> {
        let gateway = &self.gateway;
        let service = self.service.as_ref()?;
        let runner = self.place(service, Some(model), &[])?;
        let name = self.model_name(Some(model));
        let runners = gateway.runners.borrow();
        let others = gateway.others.borrow();
        let spot = runners.spot(&runner, &self.view(&others, None), false);
        let own = burden(gateway, &self.call, &runner, name.clone()).reading;
        Some(TtftForecast {
            target: self.call.route.target(),
            elapsed: gateway.now().saturating_sub(self.call.at),
            queue: gateway.forecast(service, name.clone(), spot.prefill_tokens)?,
            prefill: gateway.forecast(service, name, own)?,
        })
    }

    fn view<'a>(&'a self, others: &'a Others, memory: Option<u64>) -> View<'a> {
        View {
            others,
            data_centre: &self.gateway.cfg.data_centre,
            memory,
            now: self.gateway.now(),
        }
    }

    /// The upstream for an attempt on `model`; `None` where all have been tried.
    pub(super) fn place(
        &self,
        service: &Name,
        model: Option<usize>,
        tried: &[Name],
    ) -> Option<Runner> {
        let gateway = &self.gateway;
        let picture = gateway.picture();
        let pool = picture.pool(service)?;
        let wants_new = self.side(pool);
        let need = self.need(&picture, service, model);
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
            let spots: Vec<Candidate> = fitting
                .iter()
                .map(|runner| runners.spot(runner, &view, tried.contains(runner.id())))
                .collect();
            let may_probe = self.call.route.is_safe_to_retry();
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
        let side = sessions.assign(id, draw, pool.new_share, pool.on_trial, now);
        drop(sessions);
        if draw < TRIAL_SHARE {
            gateway.work_changed.notify_one();
        }
        pool.new_share.map(|_| side)
    }

    /// What the prompt asks of an upstream; `None` for a request without one.
    fn need(
        &self,
        picture: &Picture,
        service: &Name,
        model: Option<usize>,
    ) -> Option<SharedPrefix> {
        if !self.call.route.affinity {
            return None;
        }
        let prompt = &self.call.prompt;
        let slowness = self
            .model_name(model)
            .map_or(1.0, |model| picture.slowness(service, &model));
        Some(SharedPrefix {
            id: prompt.shared_prefix_id(),
            prefill_tokens: (prompt.shared_prefix_tokens() as f64 * slowness) as u64,
        })
    }
}
