//! Traffic split of a route over several services by smooth weighted round robin.
//!
//! Unlike random draws, it keeps the proportions in every stretch of calls.

/// State of the split of one route.
#[derive(Clone, Debug, Default)]
pub struct Split {
    credits: Vec<i64>,
}

impl Split {
    /// Returns the index of the next service, or `None` if all weights are 0.
    ///
    /// Each service earns its weight as credit; the one with the most credit is chosen and pays the
    /// sum of all weights. `offset` shifts the start, so that many nodes with few calls do not all
    /// begin with the heaviest service.
    ///
    /// ```
    /// let mut split = policy::split::Split::default();
    /// let chosen: Vec<_> = (0..4).filter_map(|_| split.next(&[3, 1], 0)).collect();
    /// assert_eq!(chosen.iter().filter(|&&part| part == 1).count(), 1);
    /// ```
    pub fn next(&mut self, weights: &[u32], offset: u64) -> Option<usize> {
        let total: i64 = weights.iter().map(|&w| i64::from(w)).sum();
        if total == 0 {
            return None;
        }
        if self.credits.len() != weights.len() {
            self.credits = initial_credits(weights, total, offset);
        }
        for (credit, &weight) in self.credits.iter_mut().zip(weights) {
            *credit += i64::from(weight);
        }
        let weighted = (0..weights.len()).filter(|&i| weights[i] > 0);
        let chosen = weighted.max_by_key(|&i| self.credits[i])?;
        self.credits[chosen] -= total;
        Some(chosen)
    }
}

/// Returns initial credits that sum to zero, shifted by `offset` modulo `total`.
fn initial_credits(weights: &[u32], total: i64, offset: u64) -> Vec<i64> {
    let mut credits = vec![0; weights.len()];
    let offset_credit = (offset % total.unsigned_abs()) as i64;
    let last = weights.len() - 1;
    credits[0] -= offset_credit;
    credits[last] += offset_credit;
    credits
}
