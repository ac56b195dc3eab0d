//! Reports the evacuations that begin and end with a new configuration.

use crate::log::event;
use crate::metrics::Metrics;
use crate::peer::ConfigView;

/// Logs the difference between the configuration held so far and the new one, and sets the gauge.
pub(crate) fn report(metrics: &Metrics, held: &ConfigView, new: &ConfigView) {
    for data_centre in new.evacuated.difference(&held.evacuated) {
        event!(
            Info,
            "evacuation_in_force",
            data_centre = data_centre,
            revision = new.revision
        );
    }
    for data_centre in held.evacuated.difference(&new.evacuated) {
        event!(
            Info,
            "evacuation_ended",
            data_centre = data_centre,
            revision = new.revision
        );
    }
    metrics.set_gauge(
        "daisyquay_evacuated_data_centres",
        new.evacuated.len() as f64,
    );
}
