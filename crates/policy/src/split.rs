//! Which of several services a route's next call goes to.
//!
//! Random draws would miss a weight by several percent over a few hundred calls. The calls of one
//! node follow a fixed sequence in which every stretch holds each service in proportion to its
//! weight (smooth weighted round robin), so the shares hold from the first calls on.

/// Credit of each part of one route's split.
#[derive(Clone, Debug, Default)]
pub struct Split {
    credits: Vec<i64>,
}

impl Split {
    /// Returns the index of the next part; none where no weight is above 0.
    ///
    /// Every part earns its weight; the one with the most credit is taken and pays the sum of all.
    /// The first calls begin at a part that depends on `offset`, so that many nodes with few calls
    /// each do not all begin with the heaviest part.
    ///
    /// ```
    /// let mut split = policy::split::Split::default();
    /// let taken: Vec<_> = (0..4).filter_map(|_| split.next(&[3, 1], 0)).collect();
    /// assert_eq!(taken.iter().filter(|&&part| part == 1).count(), 1);
    /// ```
    pub fn next(&mut self, weights: &[u32], offset: u64) -> Option<usize> {
        let total: i64 = weights.iter().map(|&w| i64::from(w)).sum();
        if total == 0 {
            return None;
        }
        if self.credits.len() != weights.len() {
            self.credits = start(weights, total, offset);
        }
        for (credit, &weight) in self.credits.iter_mut().zip(weights) {
            *credit += i64::from(weight);
        }
        let able = (0..weights.len()).filter(|&i| weights[i] > 0);
        let taken = able.max_by_key(|&i| self.credits[i])?;
        self.credits[taken] -= total;
        Some(taken)
    }
}

/// Returns credits that sum to zero, shifted by a share of the total that `offset` picks.
fn start(weights: &[u32], total: i64, offset: u64) -> Vec<i64> {
    let mut credits = vec![0; weights.len()];
    let shift = (offset % total.unsigned_abs()) as i64;
    let last = weights.len() - 1;
    credits[0] -= shift;
    credits[last] += shift;
    credits
}
