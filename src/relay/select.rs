//! Selects the version that serves a request: the session's pin, a rollout, or a plan by cost and
//! quality.

use std::time::Duration;

use ntex::http::StatusCode;

use super::eligible::Eligible;
use super::request::ChatCall;
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

/// Longest wait for the leader to pin a session.
const PIN_TIMEOUT: Duration = Duration::from_secs(3);

/// The plan by which a request is served.
#[derive(Clone, Debug)]
pub(crate) struct Selection {
    pub(crate) plan: Plan,
    /// Whether the version is in rollout. Its exposure is counted before the request is sent.
    pub(crate) is_rollout: bool,
    /// Whether the version was chosen to learn its quality. Its response is rated.
    pub(crate) is_exploring: bool,
    /// The version that the session had before this request moved it.
    pub(crate) moved_from: Option<VersionName>,
}

impl Selection {
    fn direct(version: VersionName) -> Self {
        Self {
            plan: Plan::Direct(version),
            is_rollout: false,
            is_exploring: false,
            moved_from: None,
        }
    }
}

/// Selects the plan for `call`. With `exclude_rollouts`, it proposes no version in rollout; one
/// that the session is pinned to or that the caller names is selected all the same.
///
/// # Errors
///
/// The entry has no live lease, no version is available to the caller, or the session can't be
/// pinned.
pub(crate) async fn select(
    worker: &Worker,
    call: &ChatCall,
    exclude_rollouts: bool,
) -> Result<Selection, Refusal> {
    let shared = &worker.shared;
    if !shared.lease_is_live() {
        let message =
            "this entry has lost its lease and may not route requests; use another address";
        return Err(Refusal::unavailable("no_lease", message));
    }
    let view = shared.view();
    let Some(session) = call.session.as_ref().filter(|_| !call.model.contains('@')) else {
        return propose(
            worker,
            &view,
            call,
            exclude_rollouts,
            call.session.is_none(),
        );
    };
    // A session may use several models and is pinned to one version of each.
    let session: Name = format!("{}/{session}", call.model).into();
    let organisation = &call.organisation.name;
    if let Some(version) = shared.cached_pin(organisation, &session) {
        return select_version(worker, &view, call, version, None);
    }
    let proposed = propose(worker, &view, call, exclude_rollouts, false)?;
    let request = Request::Pin(PinRequest {
        organisation: organisation.clone(),
        session: session.clone(),
        proposed: proposed.plan.first().clone(),
    });
    let left = call.deadline.saturating_sub(shared.now());
    match shared.call_leader(request, left.min(PIN_TIMEOUT)).await {
        Some(Reply::Pin(PinOutcome::Pinned {
            version,
            moved_from,
        })) => {
            shared.cache_pin(organisation, &session, version.clone());
            select_version(worker, &shared.view(), call, version, moved_from)
        }
        Some(Reply::Pin(PinOutcome::Refused)) => {
            let message = "the selected version has just been withdrawn; retry the request";
            Err(Refusal::unavailable("version_withdrawn", message))
        }
        Some(Reply::Pin(PinOutcome::Full)) => {
            let message = "too many sessions are open; retry later or without a session";
            Err(Refusal::unavailable("sessions_full", message))
        }
        _ => {
            let message =
                "the state replicas can't be reached to pin the session; retry the request";
            Err(Refusal::unavailable("state_unreachable", message))
        }
    }
}

/// Selects `version` itself, if the organisation may use it and an upstream serves it.
fn select_version(
    worker: &Worker,
    view: &View,
    call: &ChatCall,
    version: VersionName,
    moved_from: Option<VersionName>,
) -> Result<Selection, Refusal> {
    if !call.organisation.allows_version(&version) {
        return Err(not_allowed(&version.to_string()));
    }
    let target = Target::Version(version.clone());
    let eligible = Eligible::new(worker, view, &call.organisation);
    if !eligible.is_served(&target) {
        return Err(eligible.refusal(&target));
    }
    let is_rollout = view
        .config
        .rollouts
        .values()
        .any(|rollout| rollout.version == version);
    Ok(Selection {
        is_rollout,
        moved_from,
        ..Selection::direct(version)
    })
}

/// Proposes a plan for a request without a pin.
fn propose(
    worker: &Worker,
    view: &View,
    call: &ChatCall,
    exclude_rollouts: bool,
    may_cascade: bool,
) -> Result<Selection, Refusal> {
    if call.model.contains('@') {
        return select_named(worker, view, call);
    }
    let usable_versions = usable_versions(worker, view, call)?;
    if !exclude_rollouts && let Some(version) = sample_rollout(worker, view, call) {
        return Ok(Selection {
            is_rollout: true,
            ..Selection::direct(version)
        });
    }
    let candidates: Vec<plan::Candidate<'_>> = usable_versions
        .into_iter()
        .filter_map(|version| plan_candidate(view, call, version))
        .collect();
    let requirements = plan::Requirements {
        quality_target: call.quality_target,
        may_cascade: may_cascade && !call.is_streaming && worker.shared.cfg.rater.is_some(),
        rating_cost: worker.shared.cfg.rating_cost,
        may_explore: may_cascade && worker.shared.cfg.rater.is_some(),
    };
    let planned = plan::select(&candidates, &requirements, worker.draw())
        .ok_or_else(|| no_upstream(&call.model))?;
    Ok(Selection {
        plan: planned.plan,
        is_exploring: planned.is_exploration,
        is_rollout: false,
        moved_from: None,
    })
}

/// Selects the version that the caller named.
fn select_named(worker: &Worker, view: &View, call: &ChatCall) -> Result<Selection, Refusal> {
    let unknown = || model_not_found(&call.model);
    let version: VersionName = call.model.parse().map_err(|_| unknown())?;
    if view.config.inventory.version(&version).is_none() {
        return Err(unknown());
    }
    if !call.organisation.allows_version(&version) {
        return Err(not_allowed(&call.model));
    }
    if !view.config.is_available(&version) {
        return Err(withdrawn(&call.model));
    }
    select_version(worker, view, call, version, None)
}

/// Returns the active versions that match the request's model, that the organisation may use and
/// that at least one upstream serves.
fn usable_versions(
    worker: &Worker,
    view: &View,
    call: &ChatCall,
) -> Result<Vec<VersionName>, Refusal> {
    let inventory = &view.config.inventory;
    let in_scope = |name: &VersionName| &*call.model == "auto" || name.model == call.model;
    let scope: Vec<_> = inventory
        .versions()
        .filter(|(name, _)| in_scope(name))
        .collect();
    if scope.is_empty() {
        return Err(model_not_found(&call.model));
    }
    let allowed: Vec<_> = scope
        .into_iter()
        .filter(|(name, _)| call.organisation.allows_version(name))
        .collect();
    if allowed.is_empty() {
        return Err(not_allowed(&call.model));
    }
    let active: Vec<VersionName> = allowed
        .into_iter()
        .filter(|(name, version)| {
            version.state == VersionState::Active && view.config.is_available(name)
        })
        .map(|(name, _)| name)
        .collect();
    if active.is_empty() {
        return Err(withdrawn(&call.model));
    }
    let eligible = Eligible::new(worker, view, &call.organisation);
    let targets: Vec<Target> = active.iter().cloned().map(Target::Version).collect();
    let served: Vec<VersionName> = active
        .into_iter()
        .zip(&targets)
        .filter(|(_, target)| eligible.is_served(target))
        .map(|(name, _)| name)
        .collect();
    if served.is_empty() {
        // A version that is out of service by an order or a restriction explains more than one that
        // has no upstream at all.
        let explained = targets.iter().find(|target| eligible.is_barred(target));
        return Err(explained.map_or_else(
            || no_upstream(&call.model),
            |target| eligible.refusal(target),
        ));
    }
    Ok(served)
}

/// Returns a version in rollout for its share of the requests, by a random draw; `None` for the
/// others.
fn sample_rollout(worker: &Worker, view: &View, call: &ChatCall) -> Option<VersionName> {
    let draw = worker.draw();
    let eligible = Eligible::new(worker, view, &call.organisation);
    let mut candidates = view
        .config
        .rollouts
        .iter()
        .filter(|(model, _)| &*call.model == "auto" || **model == call.model)
        .map(|(_, rollout)| rollout)
        .filter(|rollout| draw < rollout.share)
        .map(|rollout| &rollout.version);
    candidates
        .find(|version| {
            call.organisation.allows_version(version)
                && view.config.is_available(version)
                && eligible.is_served(&Target::Version((*version).clone()))
        })
        .cloned()
}

/// Estimates the cost and the quality of version `name` for this request.
fn plan_candidate<'a>(
    view: &'a View,
    call: &ChatCall,
    name: VersionName,
) -> Option<plan::Candidate<'a>> {
    let version = view.config.inventory.version(&name)?;
    let cost = (call.tokens_in * version.cost_in + call.tokens_out * version.cost_out) / 1e3;
    Some(plan::Candidate {
        cost,
        quality: view.quality.estimate(&name, &call.class, version.quality),
        history: view.quality.history(&name, &call.class),
        version: name,
    })
}

fn model_not_found(model: &str) -> Refusal {
    let message =
        format!("model `{model}` is unknown; `GET /v1/models` lists the models you may use");
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
    let message = format!("no upstream serves `{model}` at the moment; retry the request");
    Refusal::unavailable("no_upstream", message)
}
