//! Results of a simulation run.

use crate::experiment::model;

use super::FAULT_AT;
use super::Fault;
use super::MEASURE_FROM;
use super::ORGANISATIONS;
use super::SIMULATED_TIME;
use super::SLOTS;
use super::Simulation;

impl Simulation {
    /// Returns a value for each column of the table.
    pub(super) fn results(mut self) -> Vec<f64> {
        self.ttfts_ms.sort_by(f64::total_cmp);
        let quantile = |share: f64| {
            let last_index = self.ttfts_ms.len().saturating_sub(1) as f64;
            self.ttfts_ms
                .get((last_index * share) as usize)
                .copied()
                .unwrap_or(f64::NAN)
        };
        let measured_s = (SIMULATED_TIME - MEASURE_FROM).as_secs_f64();
        let good: u64 = self.good_by_organisation.iter().sum();
        let offered: u64 = self.offered_by_organisation.iter().sum();
        vec![
            quantile(0.5),
            quantile(0.95),
            quantile(0.99),
            good as f64 / measured_s,
            self.fairness_index(),
            self.attempts as f64 / good.max(1) as f64 - 1.0,
            self.recovery_s(offered as f64 / measured_s),
        ]
    }

    /// Returns Jain's fairness index over the organisations. It compares the good responses of each
    /// with its weighted share of all good responses, or with its requests if they are fewer.
    fn fairness_index(&self) -> f64 {
        let total: u64 = self.good_by_organisation.iter().sum();
        let weights: u32 = ORGANISATIONS.iter().map(|(weight, _)| weight).sum();
        let ratios: Vec<f64> = ORGANISATIONS
            .iter()
            .enumerate()
            .map(|(i, (weight, _))| {
                let share = total as f64 * f64::from(*weight) / f64::from(weights);
                let due = share.min(self.offered_by_organisation[i] as f64).max(1.0);
                (self.good_by_organisation[i] as f64 / due).min(1.5)
            })
            .collect();
        let sum: f64 = ratios.iter().sum();
        let squares: f64 = ratios.iter().map(|ratio| ratio * ratio).sum();
        sum * sum / (ratios.len() as f64 * squares)
    }

    /// Returns the seconds from the fault until the goodput reaches 95% of `offered_rate` or, if
    /// that is lower, of the capacity that is left; infinity if it doesn't.
    fn recovery_s(&self, offered_rate: f64) -> f64 {
        if self.fault == Fault::None || self.fault == Fault::ReportsDelayed {
            return 0.0;
        }
        let live = self.runners.iter().filter(|runner| !runner.is_down).count() as f64;
        let capacity_left = live * f64::from(SLOTS) / model::mean_service_s();
        let required_rate = 0.95 * offered_rate.min(capacity_left);
        let start = usize::try_from(FAULT_AT.as_secs()).unwrap_or(0);
        // Adds up three seconds, so that a single second with many completions doesn't count.
        let recovered_after = self.good_by_second[start..]
            .windows(3)
            .position(|good| good.iter().sum::<u64>() as f64 >= 3.0 * required_rate);
        recovered_after.map_or(f64::INFINITY, |seconds| seconds as f64)
    }
}
