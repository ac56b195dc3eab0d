//! Announces a stand-in's upstreams to the entries and reports their load.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ntex::client::Client;
use ntex::time::Millis;
use serde::Serialize;
use serde_json::json;

use super::server::StandIn;
use crate::clock;
use crate::collections::Name;
use crate::upstream::Announcement;
use crate::upstream::LoadReport;
use crate::upstream::Serves;

/// Timeout of a request to an entry.
const REQUEST_TIMEOUT: Millis = Millis(4_000);

/// Delay before an announcement that failed or was rejected is sent again.
const ANNOUNCE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Returns the id of the `i`-th announced upstream; a single one has the configured id.
fn id(standin: &StandIn, i: u32) -> Name {
    if standin.cfg.count == 1 {
        return standin.cfg.id.clone();
    }
    format!("{}-{i}", standin.cfg.id).into()
}

fn announcement(standin: &StandIn, i: u32, address: SocketAddr, incarnation: u64) -> Announcement {
    let serves = match &standin.cfg.service {
        Some(service) => Serves::Service(service.clone()),
        None => Serves::Versions(standin.cfg.versions.clone()),
    };
    Announcement {
        id: id(standin, i),
        incarnation,
        address,
        data_centre: standin.cfg.data_centre.clone(),
        serves,
        slots: standin.cfg.slots,
        fences_orders: true,
        release: None,
        started_ms: None,
        draining: false,
        cold_ms: 0,
    }
}

/// Posts to a random entry and returns the status code, or `None` without a response.
async fn post<T: Serialize>(
    client: &Client,
    standin: &StandIn,
    path: &str,
    body: &T,
) -> Option<u16> {
    let entry = fastrand::choice(&standin.cfg.entries)?;
    let url = format!("http://{entry}{path}");
    let request = client
        .post(url)
        .timeout(REQUEST_TIMEOUT)
        .bearer_auth(&standin.cfg.upstream_key);
    let response = request.send_json(body).await.ok()?;
    Some(response.status().as_u16())
}

/// Announces the stand-in, then reports its load for as long as the process runs.
///
/// The first announcement of each upstream is retried until an entry accepts it. A load report that
/// fails is not retried; the next one follows after the report interval.
pub(super) async fn announce_and_report(standin: Arc<StandIn>, address: SocketAddr) {
    let client = Client::new().await;
    let incarnation = clock::wall_ms();
    for i in 0..standin.cfg.count {
        announce(
            &client,
            &standin,
            &announcement(&standin, i, address, incarnation),
        )
        .await;
    }
    let mut delayed_loads: VecDeque<(u32, u32)> = VecDeque::new();
    loop {
        tokio::time::sleep(standin.cfg.report_interval).await;
        let faults = standin.faults();
        if faults.mute {
            continue;
        }
        delayed_loads.push_back(standin.load());
        while delayed_loads.len() > faults.report_lag + 1 {
            delayed_loads.pop_front();
        }
        let (running, waiting) = delayed_loads.front().copied().unwrap_or_default();
        for i in 0..standin.cfg.count {
            let report = LoadReport {
                id: id(&standin, i),
                incarnation,
                running: running / standin.cfg.count,
                waiting: waiting / standin.cfg.count,
            };
            // A 404 means that the entry doesn't know this incarnation: announce it again.
            if post(&client, &standin, "/upstream/load", &report).await == Some(404) {
                let announced = announcement(&standin, i, address, incarnation);
                let _ = post(&client, &standin, "/upstream/announce", &announced).await;
            }
        }
    }
}

async fn announce(client: &Client, standin: &StandIn, announced: &Announcement) {
    while post(client, standin, "/upstream/announce", announced).await != Some(204) {
        tokio::time::sleep(ANNOUNCE_RETRY_DELAY).await;
    }
}

/// Reports each of the stand-in's upstreams as leaving to a random entry, without retries.
pub(super) async fn leave(standin: &StandIn) {
    if standin.cfg.entries.is_empty() {
        return;
    }
    let client = Client::new().await;
    for i in 0..standin.cfg.count {
        // A leave also covers older incarnations, so the current time serves as well as the start
        // time that was announced.
        let body = json!({ "id": id(standin, i), "incarnation": clock::wall_ms() });
        let _ = post(&client, standin, "/upstream/leave", &body).await;
    }
}
