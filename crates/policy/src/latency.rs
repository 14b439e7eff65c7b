//! How long the calls of one route usually take, and what is unusually long.
//!
//! Pattern: one service answers lookups of 80 ms and takes uploads of 700 ms. An average over both
//! says of neither how long it takes: a lookup is thought to be late before it has begun, and an
//! upstream that has just taken an upload is thought to be slow. So times are kept for each route,
//! as a smoothed mean and a smoothed deviation, the way retransmission timers do (RFC 6298).

use std::time::Duration;

/// Part of a new sample in the mean; about the last thirty calls count.
const MEAN_SHARE: f64 = 1.0 / 16.0;

/// Part of a new sample in the deviation.
const DEVIATION_SHARE: f64 = 1.0 / 16.0;

/// Deviations above the mean beyond which a call takes unusually long.
///
/// Of log-normal times of spread 0.5, 0.8 in 100 take longer, and of spread 0.8, 2.4 in 100.
const UNUSUAL: f64 = 4.0;

/// Shortest mean that times are compared with, so that a time of zero does not divide.
const MEAN_LEAST: Duration = Duration::from_micros(100);

/// Times of the calls of one route.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    mean: Duration,
    deviation: Duration,
}

impl Estimate {
    /// Begins with one call that took `sample`.
    pub fn new(sample: Duration) -> Self {
        Estimate { mean: sample, deviation: sample / 2 }
    }

    /// Begins without any answer, for a call that is late after `due`.
    ///
    /// A third of that time is taken for usual, so that all of it is unusual.
    ///
    /// ```
    /// use policy::latency::Estimate;
    /// use std::time::Duration;
    /// let guess = Estimate::guess(Duration::from_millis(300));
    /// assert_eq!(guess.mean(), Duration::from_millis(100));
    /// assert_eq!(guess.outlier_threshold(), Duration::from_millis(300));
    /// ```
    pub fn guess(due: Duration) -> Self {
        Estimate::new(due / 3)
    }

    /// Notes a call that was answered after `sample`.
    pub fn record(&mut self, sample: Duration) {
        let off = sample.abs_diff(self.mean);
        self.deviation = smooth(self.deviation, off, DEVIATION_SHARE);
        self.mean = smooth(self.mean, sample, MEAN_SHARE);
    }

    /// Returns the time that such calls usually take.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns the time that hardly any of them takes.
    ///
    /// ```
    /// use policy::latency::Estimate;
    /// use std::time::Duration;
    /// let ms = Duration::from_millis;
    /// let mut latency = Estimate::new(ms(80));
    /// (0..200).for_each(|i| latency.record(ms(if i % 2 == 0 { 70 } else { 90 })));
    /// assert!(latency.outlier_threshold() > ms(110) && latency.outlier_threshold() < ms(130));
    /// ```
    pub fn outlier_threshold(&self) -> Duration {
        self.mean + self.deviation.mul_f64(UNUSUAL)
    }

    /// Returns how many times as long as usual `time` is.
    ///
    /// ```
    /// use policy::latency::Estimate;
    /// use std::time::Duration;
    /// let latency = Estimate::new(Duration::from_millis(80));
    /// assert_eq!(latency.ratio(Duration::from_millis(160)), 2.0);
    /// ```
    pub fn ratio(&self, time: Duration) -> f64 {
        time.as_secs_f64() / self.mean.max(MEAN_LEAST).as_secs_f64()
    }
}

/// How large the answers of one route usually are.
///
/// Bytes between data centres are scarcer than time; which calls should stay near by shows only in
/// their answers.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    mean: f64,
}

impl Size {
    /// Begins with one answer of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Size { mean: bytes as f64 }
    }

    /// Notes an answer of `bytes`.
    ///
    /// ```
    /// let mut size = policy::latency::Size::new(4_000);
    /// size.record(8_000);
    /// assert_eq!(size.mean(), 4_250);
    /// ```
    pub fn record(&mut self, bytes: usize) {
        self.mean += (bytes as f64 - self.mean) * MEAN_SHARE;
    }

    /// Returns the bytes that such answers usually have.
    pub fn mean(&self) -> usize {
        self.mean as usize
    }
}

fn smooth(old: Duration, sample: Duration, share: f64) -> Duration {
    old.mul_f64(1.0 - share) + sample.mul_f64(share)
}
