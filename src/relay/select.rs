//! Which version serves a request: pinned, rolled out, or planned.

use std::time::Duration;

use ntex::http::StatusCode;

use super::ask::Ask;
use crate::collections::Name;
use crate::config::VersionName;
use crate::config::VersionState;
use crate::entry::Refusal;
use crate::entry::View;
use crate::entry::Worker;
use crate::peer::Reply;
use crate::peer::Request;
use crate::policy::plan;
use crate::policy::plan::Plan;
use crate::state::Target;
use crate::state::command::PinOutcome;
use crate::state::command::PinRequest;

/// Time in which the state must answer for a session's pin.
const PIN_LIMIT: Duration = Duration::from_secs(3);

/// What serves a request.
#[derive(Clone, Debug)]
pub(crate) struct Selected {
    pub(crate) plan: Plan,
    /// Whether the version is being rolled out: its exposure is counted before dispatch.
    pub(crate) rolls_out: bool,
    /// Whether it was chosen to learn: its answer is rated.
    pub(crate) explores: bool,
    /// Version that the session was moved away from by this request.
    pub(crate) moved_from: Option<VersionName>,
}

impl Selected {
    fn direct(version: VersionName) -> Self {
        Self {
            plan: Plan::Direct(version),
            rolls_out: false,
            explores: false,
            moved_from: None,
        }
    }
}

/// Selects what serves `ask`. With `stable`, versions that are being rolled out are left aside.
pub(crate) async fn select(worker: &Worker, ask: &Ask, stable: bool) -> Result<Selected, Refusal> {
    let shared = &worker.shared;
    if !shared.lease_is_live() {
        let message = "this entry has lost its lease and may not route; try another address";
        return Err(Refusal::unavailable("no_lease", message));
    }
    let view = shared.view();
    let Some(session) = ask.session.as_ref().filter(|_| !ask.model.contains('@')) else {
        return propose(worker, &view, ask, stable, ask.session.is_none());
    };
    // A session may use several models; it keeps its version in each.
    let session: Name = format!("{}/{session}", ask.model).into();
    let organisation = &ask.organisation.name;
    if let Some(version) = shared.cached_pin(organisation, &session) {
        return pinned(&view, ask, version, None);
    }
    let proposed = propose(worker, &view, ask, stable, false)?;
    let request = Request::Pin(PinRequest {
        organisation: organisation.clone(),
        session: session.clone(),
        proposed: proposed.plan.first().clone(),
    });
    let left = ask.deadline.saturating_sub(shared.now());
    match shared.ask(request, left.min(PIN_LIMIT)).await {
        Some(Reply::Pin(PinOutcome::Pinned {
            version,
            moved_from,
        })) => {
            shared.cache_pin(organisation, &session, version.clone());
            pinned(&shared.view(), ask, version, moved_from)
        }
        Some(Reply::Pin(PinOutcome::Refused)) => {
            let message = "the chosen version was withdrawn this moment; ask again";
            Err(Refusal::unavailable("version_withdrawn", message))
        }
        Some(Reply::Pin(PinOutcome::Full)) => {
            let message = "too many sessions are open; ask again later or without a session";
            Err(Refusal::unavailable("sessions_full", message))
        }
        _ => {
            let message = "the state can't be reached to keep the session's version; ask again";
            Err(Refusal::unavailable("state_unreachable", message))
        }
    }
}

fn pinned(
    view: &View,
    ask: &Ask,
    version: VersionName,
    moved_from: Option<VersionName>,
) -> Result<Selected, Refusal> {
    if !ask.organisation.allows_version(&version) {
        return Err(not_allowed(&version.to_string()));
    }
    if view.upstreams(&Target::Version(version.clone())).is_empty() {
        return Err(no_upstream(&version.to_string()));
    }
    let rolls_out = view
        .config
        .rollouts
        .values()
        .any(|rollout| rollout.version == version);
    Ok(Selected {
        rolls_out,
        moved_from,
        ..Selected::direct(version)
    })
}

/// Proposes a plan where no pin decides.
fn propose(
    worker: &Worker,
    view: &View,
    ask: &Ask,
    stable: bool,
    may_cascade: bool,
) -> Result<Selected, Refusal> {
    if ask.model.contains('@') {
        return named(view, ask);
    }
    let usable = usable(view, ask)?;
    if !stable && let Some(version) = rolled_out(worker, view, ask) {
        return Ok(Selected {
            rolls_out: true,
            ..Selected::direct(version)
        });
    }
    let candidates: Vec<plan::Candidate<'_>> = usable
        .into_iter()
        .filter_map(|version| candidate(view, ask, version))
        .collect();
    let wish = plan::Requirements {
        quality_target: ask.quality_target,
        may_cascade: may_cascade && !ask.streamed && worker.shared.cfg.rater.is_some(),
        rating_cost: worker.shared.cfg.rating_cost,
        may_explore: may_cascade && worker.shared.cfg.rater.is_some(),
    };
    let planned =
        plan::select(&candidates, &wish, worker.draw()).ok_or_else(|| no_upstream(&ask.model))?;
    Ok(Selected {
        plan: planned.plan,
        explores: planned.is_exploration,
        rolls_out: false,
        moved_from: None,
    })
}

/// The caller named a version.
fn named(view: &View, ask: &Ask) -> Result<Selected, Refusal> {
    let unknown = || not_found(&ask.model);
    let version: VersionName = ask.model.parse().map_err(|_| unknown())?;
    if view.config.inventory.version(&version).is_none() {
        return Err(unknown());
    }
    if !ask.organisation.allows_version(&version) {
        return Err(not_allowed(&ask.model));
    }
    if !view.config.is_available(&version) {
        return Err(withdrawn(&ask.model));
    }
    pinned(view, ask, version, None)
}

/// Active versions in the scope of the request that the organisation may use and something serves.
fn usable(view: &View, ask: &Ask) -> Result<Vec<VersionName>, Refusal> {
    let inventory = &view.config.inventory;
    let in_scope = |name: &VersionName| &*ask.model == "auto" || name.model == ask.model;
    let scope: Vec<_> = inventory
        .versions()
        .filter(|(name, _)| in_scope(name))
        .collect();
    if scope.is_empty() {
        return Err(not_found(&ask.model));
    }
    let allowed: Vec<_> = scope
        .into_iter()
        .filter(|(name, _)| ask.organisation.allows_version(name))
        .collect();
    if allowed.is_empty() {
        return Err(not_allowed(&ask.model));
    }
    let active: Vec<VersionName> = allowed
        .into_iter()
        .filter(|(name, version)| {
            version.state == VersionState::Active && view.config.is_available(name)
        })
        .map(|(name, _)| name)
        .collect();
    if active.is_empty() {
        return Err(withdrawn(&ask.model));
    }
    let served: Vec<VersionName> = active
        .into_iter()
        .filter(|name| !view.upstreams(&Target::Version(name.clone())).is_empty())
        .collect();
    if served.is_empty() {
        return Err(no_upstream(&ask.model));
    }
    Ok(served)
}

/// The version that is being rolled out, for its share of the draws.
fn rolled_out(worker: &Worker, view: &View, ask: &Ask) -> Option<VersionName> {
    let draw = worker.draw();
    let mut found = view
        .config
        .rollouts
        .iter()
        .filter(|(model, _)| &*ask.model == "auto" || **model == ask.model)
        .map(|(_, rollout)| rollout)
        .filter(|rollout| draw < rollout.share)
        .map(|rollout| &rollout.version);
    found
        .find(|version| {
            ask.organisation.allows_version(version)
                && view.config.is_available(version)
                && !view
                    .upstreams(&Target::Version((*version).clone()))
                    .is_empty()
        })
        .cloned()
}

fn candidate<'a>(view: &'a View, ask: &Ask, name: VersionName) -> Option<plan::Candidate<'a>> {
    let version = view.config.inventory.version(&name)?;
    let cost = (ask.tokens_in * version.cost_in + ask.tokens_out * version.cost_out) / 1e3;
    Some(plan::Candidate {
        cost,
        quality: view.quality.estimate(&name, &ask.class, version.quality),
        history: view.quality.history(&name, &ask.class),
        version: name,
    })
}

fn not_found(model: &str) -> Refusal {
    let message = format!("`{model}` is unknown; see `GET /v1/models` for what you may use");
    Refusal::new(StatusCode::NOT_FOUND, "model_not_found", message)
}

pub(super) fn not_allowed(model: &str) -> Refusal {
    let message =
        format!("your organisation may not use `{model}`; see `GET /v1/models` or ask an operator");
    Refusal::new(StatusCode::FORBIDDEN, "not_allowed", message)
}

pub(super) fn withdrawn(model: &str) -> Refusal {
    let message = format!("`{model}` takes no new work; name another version or just the model");
    Refusal::new(StatusCode::GONE, "version_withdrawn", message)
}

pub(super) fn no_upstream(model: &str) -> Refusal {
    let message = format!("nothing serves `{model}` at the moment; ask again");
    Refusal::unavailable("no_upstream", message)
}
