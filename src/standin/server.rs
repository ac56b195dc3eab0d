//! The HTTP server of a stand-in.

use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use ntex::server::Server;
use ntex::web;
use ntex::web::App;
use ntex::web::HttpResponse;
use ntex::web::HttpServer;
use ntex::web::types::Json;
use ntex::web::types::Path;
use ntex::web::types::State;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Semaphore;

use super::Config;
use super::Faults;
use super::engine;
use super::service;
use crate::config::VersionName;
use crate::engine::UsageRecord;

/// Requests that the stand-in has received, by several keys; tests read it by `GET /seen`.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Seen {
    /// Chat requests by request id.
    pub(crate) runs: BTreeMap<String, u64>,
    /// Chat requests by model version.
    pub(crate) versions: BTreeMap<String, u64>,
    /// Requests to the plain service by request body.
    pub(crate) bodies: BTreeMap<String, u64>,
}

/// A running stand-in, shared by its handlers and its load reports.
pub(crate) struct StandIn {
    pub(crate) cfg: Config,
    faults: Mutex<Faults>,
    seen: Mutex<Seen>,
    records: Mutex<BTreeMap<String, UsageRecord>>,
    pub(crate) slots: Semaphore,
    pub(crate) running: AtomicU32,
    pub(crate) waiting: AtomicU32,
}

impl StandIn {
    pub(crate) fn new(cfg: Config) -> Self {
        let slots = Semaphore::new((cfg.slots * cfg.count) as usize);
        Self {
            cfg,
            faults: Mutex::default(),
            seen: Mutex::default(),
            records: Mutex::default(),
            slots,
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
        }
    }

    pub(crate) fn faults(&self) -> Faults {
        lock(&self.faults).clone()
    }

    pub(crate) fn seen(&self) -> MutexGuard<'_, Seen> {
        lock(&self.seen)
    }

    /// Stores the tokens that a request has used so far.
    pub(crate) fn record_usage(&self, request: &str, record: UsageRecord) {
        lock(&self.records).insert(request.to_owned(), record);
    }

    /// Returns the numbers of running and waiting requests.
    pub(crate) fn load(&self) -> (u32, u32) {
        let running = self.running.load(Ordering::Relaxed);
        (running, self.waiting.load(Ordering::Relaxed))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts the HTTP server on `listener`.
pub(crate) fn serve(listener: TcpListener, standin: Arc<StandIn>) -> io::Result<Server> {
    let server = HttpServer::new(async move || {
        App::new()
            .state(standin.clone())
            .route("/v1/chat/completions", web::post().to(engine::chat))
            .route("/v1/records/{request}", web::get().to(record))
            .route("/rate", web::post().to(rate))
            .route("/faults", web::post().to(set_faults))
            .route("/seen", web::get().to(show_seen))
            .default_service(web::route().to(service::call))
    })
    .workers(1)
    .maxconn(65_536)
    .backlog(4096)
    .disable_signals()
    .shutdown_timeout(ntex::time::Seconds(5))
    .listen(listener)?
    .run();
    Ok(server)
}

async fn record(request: Path<String>, standin: State<Arc<StandIn>>) -> HttpResponse {
    match lock(&standin.records).get(&*request) {
        Some(record) => HttpResponse::Ok().json(record),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn set_faults(faults: Json<Faults>, standin: State<Arc<StandIn>>) -> HttpResponse {
    *lock(&standin.faults) = faults.into_inner();
    HttpResponse::NoContent().finish()
}

async fn show_seen(standin: State<Arc<StandIn>>) -> HttpResponse {
    HttpResponse::Ok().json(&*standin.seen())
}

#[derive(Deserialize)]
struct RateRequest {
    version: VersionName,
}

#[derive(Serialize)]
struct RateReply {
    score: f64,
}

async fn rate(request: Json<RateRequest>, standin: State<Arc<StandIn>>) -> HttpResponse {
    /// Largest distance of a score from the version's quality.
    const MAX_DEVIATION: f64 = 0.1;
    /// Quality of a version that `Config::quality` doesn't list.
    const DEFAULT_QUALITY: f64 = 0.7;
    let faults = standin.faults();
    if faults.rater_down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let known = standin
        .cfg
        .quality
        .iter()
        .find(|(name, _)| *name == request.version);
    let quality = known.map_or(DEFAULT_QUALITY, |(_, quality)| *quality) - faults.bad_score;
    let score = quality + MAX_DEVIATION * (2.0 * fastrand::f64() - 1.0);
    HttpResponse::Ok().json(&RateReply {
        score: score.clamp(0.0, 1.0),
    })
}
