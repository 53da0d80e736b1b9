//! Token buckets for the outside services' limits.
use gorseshore_protocol::ids::Micros;

/// A bucket: `rate` a second, bursts of `burst`.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Micros,
}
impl TokenBucket {
    /// A full bucket.
    pub fn new(rate: f64, burst: f64, now: Micros) -> Self {
        TokenBucket { rate, burst: burst.max(1.0), level: burst.max(1.0), at: now }
    }
    /// Changes the rate, keeping the level.
    pub fn set_rate(&mut self, rate: f64, burst: f64) {
        self.rate = rate;
        self.burst = burst.max(1.0);
    }
    fn fill(&mut self, now: Micros) {
        self.level = (self.level + now.since(self.at).as_secs_f64() * self.rate).min(self.burst);
        self.at = self.at.max(now);
    }
    /// Takes `n` if they are there, leaving at least `keep` for what matters more.
    pub fn take(&mut self, now: Micros, n: f64, keep: f64) -> bool {
        self.fill(now);
        // A change larger than the whole bucket goes when the bucket is full.
        let enough = self.level >= n + keep || (self.level >= self.burst - 1e-9 && n + keep > self.burst);
        if enough {
            self.level -= n;
        }
        enough
    }
    /// Takes `n` whatever is there: for what must not wait.
    pub fn take_unconditionally(&mut self, now: Micros, n: f64) {
        self.fill(now);
        self.level = (self.level - n).max(-self.burst);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_bucket_keeps_its_rate_and_its_reserve() {
        let mut b = TokenBucket::new(10.0, 10.0, Micros(0));
        let taken = (0..100).filter(|i| b.take(Micros::millis(i * 10), 1.0, 0.0)).count();
        assert!((18..=20).contains(&taken), "{taken}");
        let mut b = TokenBucket::new(10.0, 10.0, Micros(0));
        assert_eq!((0..20).filter(|_| b.take(Micros(0), 1.0, 4.0)).count(), 6);
        b.take_unconditionally(Micros(0), 20.0);
        assert!(!b.take(Micros::secs(1), 1.0, 0.0));
        assert!(b.take(Micros::secs(2), 1.0, 0.0));
    }
}
