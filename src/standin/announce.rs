//! Announces a stand-in to the entries and reports its load.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ntex::client::Client;
use ntex::time::Millis;
use serde::Serialize;
use serde_json::json;

use super::server::Stand;
use crate::clock;
use crate::collections::Name;
use crate::upstream::Announcement;
use crate::upstream::LoadReport;
use crate::upstream::Serves;

/// Time in which an entry must answer.
const LIMIT: Millis = Millis(4_000);

/// Pause after an announcement that was not taken.
const PAUSE: Duration = Duration::from_millis(200);

fn id(stand: &Stand, i: u32) -> Name {
    if stand.cfg.count == 1 {
        return stand.cfg.id.clone();
    }
    format!("{}-{i}", stand.cfg.id).into()
}

fn announcement(stand: &Stand, i: u32, address: SocketAddr, incarnation: u64) -> Announcement {
    let serves = match &stand.cfg.service {
        Some(service) => Serves::Service(service.clone()),
        None => Serves::Versions(stand.cfg.versions.clone()),
    };
    Announcement {
        id: id(stand, i),
        incarnation,
        address,
        data_centre: stand.cfg.data_centre.clone(),
        serves,
        slots: stand.cfg.slots,
        fences_orders: true,
        release: None,
        started_ms: None,
        draining: false,
    }
}

async fn post<T: Serialize>(client: &Client, stand: &Stand, path: &str, body: &T) -> Option<u16> {
    let entry = fastrand::choice(&stand.cfg.entries)?;
    let url = format!("http://{entry}{path}");
    let request = client
        .post(url)
        .timeout(LIMIT)
        .bearer_auth(&stand.cfg.upstream_key);
    let response = request.send_json(body).await.ok()?;
    Some(response.status().as_u16())
}

/// Announces the stand-in, then reports its load as long as the process runs.
pub(super) async fn keep(stand: Arc<Stand>, address: SocketAddr) {
    let client = Client::new().await;
    let incarnation = clock::wall_ms();
    for i in 0..stand.cfg.count {
        announce(
            &client,
            &stand,
            &announcement(&stand, i, address, incarnation),
        )
        .await;
    }
    let mut lagging: VecDeque<(u32, u32)> = VecDeque::new();
    loop {
        tokio::time::sleep(stand.cfg.report_interval).await;
        let faults = stand.faults();
        if faults.mute {
            continue;
        }
        lagging.push_back(stand.load());
        while lagging.len() > faults.report_lag + 1 {
            lagging.pop_front();
        }
        let (running, waiting) = lagging.front().copied().unwrap_or_default();
        for i in 0..stand.cfg.count {
            let report = LoadReport {
                id: id(&stand, i),
                incarnation,
                running: running / stand.cfg.count,
                waiting: waiting / stand.cfg.count,
            };
            // An entry that does not know this incarnation asks for a new announcement.
            if post(&client, &stand, "/upstream/load", &report).await == Some(404) {
                let announced = announcement(&stand, i, address, incarnation);
                let _ = post(&client, &stand, "/upstream/announce", &announced).await;
            }
        }
    }
}

async fn announce(client: &Client, stand: &Stand, announced: &Announcement) {
    while post(client, stand, "/upstream/announce", announced).await != Some(204) {
        tokio::time::sleep(PAUSE).await;
    }
}

/// Tells the entries that the stand-in leaves.
pub(super) async fn leave(stand: &Stand) {
    if stand.cfg.entries.is_empty() {
        return;
    }
    let client = Client::new().await;
    for i in 0..stand.cfg.count {
        let body = json!({ "id": id(stand, i), "incarnation": clock::wall_ms() });
        let _ = post(&client, stand, "/upstream/leave", &body).await;
    }
}
