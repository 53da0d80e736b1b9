//! Token buckets that keep to the rate limits of outside services.
use gorseshore_protocol::ids::Micros;

/// A token bucket: `rate` tokens per second, at most `burst` at once.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    updated_at: Micros,
}
impl TokenBucket {
    /// A full bucket.
    pub fn new(rate: f64, burst: f64, now: Micros) -> Self {
        TokenBucket { rate, burst: burst.max(1.0), level: burst.max(1.0), updated_at: now }
    }
    /// Changes the rate, keeping the level.
    pub fn set_rate(&mut self, rate: f64, burst: f64) {
        self.rate = rate;
        self.burst = burst.max(1.0);
    }
    /// Adds the tokens since the last update.
    fn refill(&mut self, now: Micros) {
        self.level = (self.level + now.since(self.updated_at).as_secs_f64() * self.rate).min(self.burst);
        self.updated_at = self.updated_at.max(now);
    }
    /// Takes `n` tokens if at least `reserve` remain for requests that matter more.
    pub fn take(&mut self, now: Micros, n: f64, reserve: f64) -> bool {
        self.refill(now);
        // A request larger than the whole bucket is granted when the bucket is full.
        let enough =
            self.level >= n + reserve || (self.level >= self.burst - 1e-9 && n + reserve > self.burst);
        if enough {
            self.level -= n;
        }
        enough
    }
    /// Takes `n` tokens without a check, down to a debt of `burst`; for requests that must not
    /// wait.
    pub fn take_unconditionally(&mut self, now: Micros, n: f64) {
        self.refill(now);
        self.level = (self.level - n).max(-self.burst);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_rate_and_the_reserve_are_kept() {
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
