//! Metrics recorded with `opentelemetry` and exported in the Prometheus text format.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::collections::HashMap;

/// Upper bounds of the histogram buckets of durations, in seconds.
const DURATION_BUCKETS_S: [f64; 14] = [
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.46, 1.0, 2.5, 5.0, 10.0,
];

/// A label: its name and its value.
pub(crate) type Label<'a> = (&'static str, &'a str);

#[derive(Default)]
struct Instruments {
    gauges: HashMap<&'static str, Gauge<f64>>,
    counters: HashMap<&'static str, Counter<u64>>,
    histograms: HashMap<&'static str, Histogram<f64>>,
}

struct Inner {
    registry: Registry,
    meter: Meter,
    instruments: Mutex<Instruments>,
    // Dropping the provider would stop the meter.
    _provider: SdkMeterProvider,
}

/// The metrics of a process; clones share the same instruments.
#[derive(Clone)]
pub(crate) struct Metrics(Arc<Inner>);

impl Metrics {
    /// Creates metrics with a registry of their own.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let builder = SdkMeterProvider::builder();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build();
        let provider = match exporter {
            Ok(exporter) => builder.with_reader(exporter).build(),
            // Without an exporter no metrics are published, but the process still works.
            Err(_) => builder.build(),
        };
        Self(Arc::new(Inner {
            meter: provider.meter("daisyquay"),
            registry,
            instruments: Mutex::default(),
            _provider: provider,
        }))
    }

    /// Sets a gauge without labels.
    pub(crate) fn set_gauge(&self, name: &'static str, value: f64) {
        self.set_labelled_gauge(name, value, &[]);
    }

    /// Sets a gauge for one combination of labels.
    pub(crate) fn set_labelled_gauge(&self, name: &'static str, value: f64, labels: &[Label<'_>]) {
        let gauge = self.instrument(|instruments, meter| {
            let gauges = &mut instruments.gauges;
            let gauge = gauges
                .entry(name)
                .or_insert_with(|| meter.f64_gauge(name).build());
            gauge.clone()
        });
        gauge.record(value, &key_values(labels));
    }

    /// Adds `n` to a counter.
    pub(crate) fn add_to_counter(&self, name: &'static str, n: u64, labels: &[Label<'_>]) {
        let counter = self.instrument(|instruments, meter| {
            let counters = &mut instruments.counters;
            let counter = counters
                .entry(name)
                .or_insert_with(|| meter.u64_counter(name).build());
            counter.clone()
        });
        counter.add(n, &key_values(labels));
    }

    /// Records a duration in seconds in a histogram.
    pub(crate) fn record_duration(&self, name: &'static str, seconds: f64, labels: &[Label<'_>]) {
        let histogram = self.instrument(|instruments, meter| {
            let histograms = &mut instruments.histograms;
            let histogram = histograms.entry(name).or_insert_with(|| {
                meter
                    .f64_histogram(name)
                    .with_boundaries(DURATION_BUCKETS_S.to_vec())
                    .build()
            });
            histogram.clone()
        });
        histogram.record(seconds, &key_values(labels));
    }

    /// Returns all metrics in the Prometheus text format; empty if they can't be encoded.
    pub(crate) fn render(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.0.registry.gather())
            .unwrap_or_default()
    }

    /// Locks the instruments and calls `get`, which may create one.
    fn instrument<T>(&self, get: impl FnOnce(&mut Instruments, &Meter) -> T) -> T {
        let mut instruments = self
            .0
            .instruments
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        get(&mut instruments, &self.0.meter)
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn key_values(labels: &[Label<'_>]) -> Vec<KeyValue> {
    labels
        .iter()
        .map(|(key, value)| KeyValue::new(*key, (*value).to_owned()))
        .collect()
}
