//! Latency and size estimates per route.
//!
//! Routes of one service differ widely in latency: by an estimate per service, a short call would seem late
//! before it began, and an upstream that has just answered a long one slow. So estimates are kept per route, as an
//! exponentially weighted mean and deviation like those of retransmission timers (RFC 6298).

use std::time::Duration;

/// Weight of a new sample in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;

/// Weight of a new sample in the deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 16.0;

/// Mean deviations above the mean at which a latency is an outlier.
///
/// Of log-normal latencies with a spread of 0.5, 0.8 in 100 exceed it, and with a spread of 0.8, 2.4 in 100.
const OUTLIER_DEVIATIONS: f64 = 4.0;

/// Lower bound of the mean in ratios; avoids division by zero.
const MIN_MEAN: Duration = Duration::from_micros(100);

/// Smoothed mean and deviation of the latencies of one route.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    mean: Duration,
    deviation: Duration,
}

impl Estimate {
    /// Creates an estimate from its first sample.
    pub fn new(sample: Duration) -> Self {
        Estimate { mean: sample, deviation: sample / 2 }
    }

    /// Creates an estimate without samples for calls that are late after `due`.
    ///
    /// The mean is a third of `due`, so that `due` is the outlier threshold.
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

    /// Adds the latency of an answered call.
    pub fn record(&mut self, sample: Duration) {
        let error = sample.abs_diff(self.mean);
        self.deviation = smooth(self.deviation, error, DEVIATION_WEIGHT);
        self.mean = smooth(self.mean, sample, MEAN_WEIGHT);
    }

    /// Returns the mean latency.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns the latency above which a call is an outlier.
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
        self.mean + self.deviation.mul_f64(OUTLIER_DEVIATIONS)
    }

    /// Returns `time` as a multiple of the mean latency.
    ///
    /// ```
    /// use policy::latency::Estimate;
    /// use std::time::Duration;
    /// let latency = Estimate::new(Duration::from_millis(80));
    /// assert_eq!(latency.ratio(Duration::from_millis(160)), 2.0);
    /// ```
    pub fn ratio(&self, time: Duration) -> f64 {
        time.as_secs_f64() / self.mean.max(MIN_MEAN).as_secs_f64()
    }
}

/// Smoothed mean of the response sizes of one route.
///
/// Placement uses it to keep calls with large responses in their data centre.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    mean: f64,
}

impl Size {
    /// Creates an estimate from a first response of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Size { mean: bytes as f64 }
    }

    /// Adds a response of `bytes`.
    ///
    /// ```
    /// let mut size = policy::latency::Size::new(4_000);
    /// size.record(8_000);
    /// assert_eq!(size.mean(), 4_250);
    /// ```
    pub fn record(&mut self, bytes: usize) {
        self.mean += (bytes as f64 - self.mean) * MEAN_WEIGHT;
    }

    /// Returns the mean response size in bytes.
    pub fn mean(&self) -> usize {
        self.mean as usize
    }
}

fn smooth(old: Duration, sample: Duration, weight: f64) -> Duration {
    old.mul_f64(1.0 - weight) + sample.mul_f64(weight)
}
