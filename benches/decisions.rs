//! Time of one decision, by the number of candidates. Run with `cargo bench --bench decisions`.

#![expect(clippy::unwrap_used, reason = "a bench fails by panicking")]

use std::hint::black_box;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use daisyquay::policy::gateway_queue::Arrival;
use daisyquay::policy::gateway_queue::Kind;
use daisyquay::policy::gateway_queue::Needs;
use daisyquay::policy::gateway_queue::Place;
use daisyquay::policy::gateway_queue::Queue;
use daisyquay::policy::gateway_queue::Request;
use daisyquay::policy::gateway_queue::Room;
use daisyquay::policy::load_balancing;
use daisyquay::policy::model_choice;
use daisyquay::policy::placement;
use daisyquay::policy::plan;
use daisyquay::policy::quality::QualityTable;
use daisyquay::upstream::Circuit;

fn candidates(count: u32) -> Vec<load_balancing::Candidate> {
    (0..count)
        .map(|i| load_balancing::Candidate {
            id: format!("runner-{i}").into(),
            slots: 8,
            reported: Some((f64::from(i % 16) / 16.0, Duration::from_millis(700))),
            in_flight: i % 5,
            in_flight_at_report: i % 3,
            is_local: i % 3 == 0,
            circuit: Circuit::Closed,
            mean_latency_s: Some(0.1 + f64::from(i % 7) / 100.0),
        })
        .collect()
}

fn bench_choose(c: &mut Criterion) {
    let mut group = c.benchmark_group("choose");
    for count in [10, 100, 830] {
        let candidates = candidates(count);
        let mut rng = fastrand::Rng::with_seed(1);
        group.bench_with_input(
            BenchmarkId::new("any", count),
            &candidates,
            |b, candidates| {
                b.iter(|| load_balancing::choose(black_box(candidates), None, &[], &mut rng));
            },
        );
        group.bench_with_input(
            BenchmarkId::new("session", count),
            &candidates,
            |b, candidates| {
                b.iter(|| load_balancing::choose(black_box(candidates), Some(7), &[], &mut rng));
            },
        );
    }
    group.finish();
}

/// Placement over upstreams that differ in speed, a hundred of which have the same backlog.
fn bench_place_by_time(c: &mut Criterion) {
    let mut group = c.benchmark_group("place_by_time");
    for count in [4, 90, 830_u32] {
        let candidates: Vec<placement::Candidate> = (0..count)
            .map(|i| placement::Candidate {
                id: placement::stable_hash(&format!("upstream-{i}")),
                load: f64::from(i % 16) / 16.0,
                prefill_tokens: u64::from(i % 8) * 5_000,
                kv_cache_use: 0.3,
                is_local: i % 3 == 0,
                circuit: Circuit::Closed,
                was_tried: false,
                is_suspect: false,
                is_blocked: false,
                slowness: if i % 4 == 0 { 2.0 } else { 1.0 },
            })
            .collect();
        let hint = placement::TimeHint {
            slot_share: 1.0 / 16.0,
            peer_load: 0.1,
            lag_s: 0.1,
        };
        let hints = vec![hint; candidates.len()];
        let context = placement::TimeContext {
            hints: &hints,
            token_s: Some(1e-5),
            request_s: Some(0.1),
            is_connected: &|i| i % 16 == 5,
        };
        let prefill = placement::Prefill {
            prefix_id: Some(7),
            prefix_tokens: 2_000,
            own_tokens: 3_000,
            tokens_to_target: Some(60_000),
        };
        let mut rng = fastrand::Rng::with_seed(1);
        for (name, prefill) in [("load", None), ("prefill", Some(prefill))] {
            group.bench_function(BenchmarkId::new(name, count), |b| {
                b.iter(|| {
                    let candidates = black_box(&candidates);
                    placement::place_by_time(candidates, prefill, true, &context, &mut rng)
                });
            });
        }
    }
    group.finish();
}

fn bench_select(c: &mut Criterion) {
    let mut group = c.benchmark_group("plan");
    for count in [2, 20] {
        let class = "answer".into();
        let mut quality = QualityTable::default();
        let names: Vec<daisyquay::config::VersionName> = (0..count)
            .map(|i| format!("m{i}@1").parse().unwrap())
            .collect();
        for (i, name) in names.iter().enumerate() {
            for _ in 0..200 {
                quality.record(name, &class, 0.5 + i as f64 / 50.0);
            }
        }
        let requirements = plan::Requirements {
            quality_target: 0.8,
            may_cascade: true,
            rating_cost: 0.1,
            may_explore: true,
        };
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                let candidates: Vec<plan::Candidate<'_>> = names
                    .iter()
                    .enumerate()
                    .map(|(i, name)| plan::Candidate {
                        version: name.clone(),
                        cost: 1.0 + i as f64,
                        quality: quality.estimate(name, &class, 0.7),
                        history: quality.history(name, &class),
                    })
                    .collect();
                plan::select(black_box(&candidates), &requirements, 0.5)
            });
        });
    }
    group.finish();
}

/// Measures the choice among three models: the decision, and the price by the load of 830 upstreams,
/// which a gateway measures at most once in 10 ms.
fn bench_model_choice(c: &mut Criterion) {
    let ms = Duration::from_millis;
    let mut usual = model_choice::UsualSize::default();
    let size = model_choice::Size::new(2_000, 300, Some(200), &usual);
    usual.record(&size);
    let backlogs: Vec<u64> = (0..830).map(|i| i * 7_919 % 60_000).collect();
    let mut price = model_choice::ServicePrice::default();
    let mut now = Duration::ZERO;
    c.bench_function("model_choice/load_830", |b| {
        b.iter(|| {
            now += ms(20);
            let mut backlogs = black_box(&backlogs).clone();
            let sum: u64 = backlogs.iter().sum();
            let (_, &mut median, _) = backlogs.select_nth_unstable(415);
            let load = model_choice::ServiceLoad {
                median_backlog: ms(median / 150),
                mean_backlog: ms(sum / 830 / 150),
                slots_in_use: 0.7,
                usual_work: ms(100),
                usual_target: ms(2_000),
            };
            price.record_load(&load, now);
        });
    });
    c.bench_function("model_choice/decide", |b| {
        b.iter(|| {
            price.record_request(size.first_work(1.0), ms(2_000));
            let options = [(1, 7.5), (2, 15.0)].map(|(model, slowness)| {
                let work = size.escalation_work(slowness, 1.0);
                model_choice::LargerModel {
                    model,
                    steps: model,
                    is_largest: model == 2,
                    relative_cost: slowness / 15.0,
                    wait: ms(300),
                    output: ms(100),
                    opportunity_cost: price.opportunity_cost(work, 2),
                }
            });
            let present = model_choice::Present {
                confidence: 45.0,
                elapsed: ms(200),
                target: ms(2_000),
                deadline: ms(10_000),
                size,
                usual,
                budget_left: 0.8,
            };
            model_choice::decide(black_box(&present), black_box(&options))
        });
    });
}

fn admission_request(i: u64) -> Request {
    Request {
        kind: Kind::First,
        rank: (i % 6) as u32,
        organisation: format!("o{}", i % 40).into(),
        weight: 1 + (i % 3) as u32,
        path: i % 5,
        deadline: Duration::from_secs(60 + i % 30),
        first_token: Duration::from_millis(200),
        cost: 1.0,
        needs: Needs {
            kv_tokens: 1_000 * (i % 50),
            ..Needs::default()
        },
    }
}

/// Upstreams without capacity, but for the last one with `free` slots.
fn places(count: u64, free: u32) -> Vec<Place> {
    (0..count)
        .map(|upstream| Place {
            upstream,
            free: if upstream + 1 == count { free } else { 0 },
            kv_free: u64::MAX,
            is_idle: false,
            is_new: false,
            is_last_resort: false,
            opens_at: None,
        })
        .collect()
}

/// One arrival and one dispatch in a queue that stays as long as it is.
fn bench_admission(c: &mut Criterion) {
    let mut group = c.benchmark_group("admission");
    for (upstreams, queued) in [(4, 16), (90, 250), (830, 1_000)] {
        let now = Duration::from_secs(1);
        let mut queue = Queue::default();
        let mut full = Room::new(places(upstreams, 0));
        let mut next = 0;
        let mut arrive = |queue: &mut Queue| {
            next += 1;
            let arrival = queue.arrive(admission_request(next), &mut full, now, 0.5);
            assert!(matches!(arrival, Arrival::Queued(_)));
        };
        for _ in 0..queued {
            arrive(&mut queue);
        }
        let name = format!("{upstreams} upstreams, {queued} queued");
        let mut room = Room::new(places(upstreams, u32::MAX));
        group.bench_function(BenchmarkId::new("arrive and dispatch", name), |b| {
            b.iter(|| {
                arrive(&mut queue);
                queue.dispatch_next(black_box(&mut room), now).unwrap()
            });
        });
        while matches!(
            queue.arrive(admission_request(next), &mut full, now, 0.5),
            Arrival::Queued(_)
        ) {
            next += 1;
        }
        let name = format!("{upstreams} upstreams, {} queued", queue.len());
        group.bench_function(BenchmarkId::new("reject", &name), |b| {
            b.iter(|| queue.arrive(admission_request(next), &mut full, now, 0.5));
        });
        // In the order of dispatch each request needs less than those before, so that as many as
        // possible are examined.
        let mut queue = Queue::default();
        for i in 0..queued {
            let request = Request {
                rank: 0,
                organisation: format!("o{}", i / 25).into(),
                deadline: Duration::from_secs(60),
                needs: Needs {
                    kv_tokens: queued - i,
                    ..Needs::default()
                },
                ..admission_request(i)
            };
            let arrival = queue.arrive(request, &mut full, now, 0.5);
            assert!(matches!(arrival, Arrival::Queued(_)));
        }
        let mut lacking = places(upstreams, 1);
        lacking.iter_mut().for_each(|place| place.kv_free = 0);
        let mut lacking = Room::new(lacking);
        let name = format!("{upstreams} upstreams, {queued} queued");
        group.bench_function(BenchmarkId::new("without KV cache", name), |b| {
            b.iter(|| assert!(queue.dispatch_next(black_box(&mut lacking), now).is_none()));
        });
        assert_eq!(queue.len(), queued as usize);
    }
    group.finish();
}

fn main() {
    let mut c = Criterion::default().configure_from_args().sample_size(30);
    bench_choose(&mut c);
    bench_place_by_time(&mut c);
    bench_select(&mut c);
    bench_model_choice(&mut c);
    bench_admission(&mut c);
    c.final_summary();
}
