//! What a run came to.

use crate::experiment::model;

use super::END;
use super::FAULT_AT;
use super::Fault;
use super::MEASURE_FROM;
use super::ORGANISATIONS;
use super::SLOTS;
use super::World;

impl World {
    pub(super) fn figures(mut self) -> Vec<f64> {
        self.firsts.sort_by(f64::total_cmp);
        let quantile = |share: f64| {
            let last = self.firsts.len().saturating_sub(1) as f64;
            self.firsts
                .get((last * share) as usize)
                .copied()
                .unwrap_or(f64::NAN)
        };
        let measured = (END - MEASURE_FROM).as_secs_f64();
        let good: u64 = self.good_by.iter().sum();
        let offered: u64 = self.offered_by.iter().sum();
        vec![
            quantile(0.5),
            quantile(0.95),
            quantile(0.99),
            good as f64 / measured,
            self.jain(),
            self.sent as f64 / good.max(1) as f64 - 1.0,
            self.recovery(offered as f64 / measured),
        ]
    }

    /// Jain's index of what organisations got for their weight, or for what they asked if that is
    /// less than their share.
    fn jain(&self) -> f64 {
        let total: u64 = self.good_by.iter().sum();
        let weights: u32 = ORGANISATIONS.iter().map(|(weight, _)| weight).sum();
        let parts: Vec<f64> = ORGANISATIONS
            .iter()
            .enumerate()
            .map(|(i, (weight, _))| {
                let share = total as f64 * f64::from(*weight) / f64::from(weights);
                let due = share.min(self.offered_by[i] as f64).max(1.0);
                (self.good_by[i] as f64 / due).min(1.5)
            })
            .collect();
        let sum: f64 = parts.iter().sum();
        let squares: f64 = parts.iter().map(|part| part * part).sum();
        sum * sum / (parts.len() as f64 * squares)
    }

    /// Seconds from the fault until a second's goodput is back at 95% of what is left.
    fn recovery(&self, offered: f64) -> f64 {
        if self.fault == Fault::None || self.fault == Fault::ReportsLag {
            return 0.0;
        }
        let live = self.runners.iter().filter(|runner| !runner.dead).count() as f64;
        let left = live * f64::from(SLOTS) / model::mean_service_s();
        let least = 0.95 * offered.min(left);
        let start = usize::try_from(FAULT_AT.as_secs()).unwrap_or(0);
        // Three seconds together, so that one lucky second does not count.
        let back = self.good[start..]
            .windows(3)
            .position(|good| good.iter().sum::<u64>() as f64 >= 3.0 * least);
        back.map_or(f64::INFINITY, |seconds| seconds as f64)
    }
}
