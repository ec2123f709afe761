//! A sum over a sliding window of time.

use std::collections::VecDeque;

use wasabi_protocol::clock::Millis;

/// Length of the buckets that the window is counted in, in milliseconds.
const BUCKET: Millis = Millis(250);

/// Number of one-second age steps that are distinguished; older amounts count in the last one.
const AGE_STEPS_MAX: usize = 64;

/// Sum of the amounts of the last [`Window::span`] milliseconds, in buckets of 250 ms. An amount
/// counts until its whole bucket has left the window.
#[derive(Debug, Clone, Default)]
pub struct Window {
    span: Millis,
    buckets: VecDeque<(u64, f64)>,
    total: f64,
}

impl Window {
    /// Returns an empty window.
    pub fn new(span: Millis) -> Self {
        Self { span, ..Self::default() }
    }

    /// Returns the length of the window, in milliseconds.
    pub fn span(&self) -> Millis {
        self.span
    }

    /// Changes the length of the window.
    pub fn set_span(&mut self, span: Millis) {
        self.span = span;
    }

    /// Adds an amount.
    pub fn add(&mut self, now: Millis, amount: f64) {
        self.total += amount;
        let bucket = now.0 / BUCKET.0;
        match self.buckets.back_mut() {
            Some((last, sum)) if bucket <= *last => *sum += amount,
            _ => self.buckets.push_back((bucket, amount)),
        }
    }

    /// Adds an amount spread evenly over the window.
    pub fn add_spread(&mut self, now: Millis, amount: f64) {
        let count = (self.span.0 / BUCKET.0).max(1);
        let last = now.0 / BUCKET.0;
        let first = last.saturating_sub(count - 1);
        let each = amount / (last - first + 1) as f64;
        let buckets = (first..=last).map(|bucket| (bucket, each)).collect();
        self.merge(&Self { span: self.span, buckets, total: amount });
    }

    /// Returns the amounts of the window that ends at `now` by age in whole seconds, the latest
    /// first.
    pub fn by_age(&mut self, now: Millis) -> Vec<f64> {
        self.sum(now);
        let mut ages = Vec::new();
        for (bucket, sum) in self.buckets.iter().rev() {
            let age = now.since(Millis(bucket * BUCKET.0)).0 / 1_000;
            let index = usize::try_from(age).unwrap_or(usize::MAX).min(AGE_STEPS_MAX - 1);
            if ages.len() <= index {
                ages.resize(index + 1, 0.0);
            }
            ages[index] += sum;
        }
        ages
    }

    /// Returns a window from amounts by their age at `now`, as [`Self::by_age`] returns them.
    pub fn aged(now: Millis, span: Millis, ages: &[f64]) -> Self {
        let mut window = Self::new(span);
        for (age, amount) in ages.iter().enumerate().take(AGE_STEPS_MAX).rev() {
            let at = now - Millis::from_secs(age as u64);
            if 0.0 < *amount {
                window.add(at, *amount);
            }
        }
        window
    }

    /// Scales down the amounts between `from` and `to` so that they add up to at most `max`.
    pub fn cap(&mut self, from: Millis, to: Millis, max: f64) {
        let covered = from.0.div_ceil(BUCKET.0)..to.0 / BUCKET.0;
        let sum: f64 = self
            .buckets
            .iter()
            .filter(|(bucket, _)| covered.contains(bucket))
            .map(|(_, amount)| amount)
            .sum();
        if sum <= max {
            return;
        }
        for (_, amount) in self.buckets.iter_mut().filter(|(bucket, _)| covered.contains(bucket)) {
            *amount *= max / sum;
        }
        self.total -= sum - max;
    }

    /// Adds the amounts of another window.
    pub fn merge(&mut self, other: &Self) {
        for (bucket, sum) in &other.buckets {
            match self.buckets.binary_search_by_key(bucket, |(held, _)| *held) {
                Ok(index) => self.buckets[index].1 += sum,
                Err(index) => self.buckets.insert(index, (*bucket, *sum)),
            }
            self.total += sum;
        }
    }

    /// Returns the sum of the window that ends at `now`.
    pub fn sum(&mut self, now: Millis) -> f64 {
        let first = (now - self.span).0 / BUCKET.0;
        while let Some((bucket, sum)) = self.buckets.front().copied()
            && bucket < first
        {
            self.buckets.pop_front();
            self.total -= sum;
        }
        if self.buckets.is_empty() {
            // Floating-point sums do not cancel exactly.
            self.total = 0.0;
        }
        self.total
    }

    /// Multiplies all amounts by a factor, for use when the limit that they count against changes.
    pub fn scale(&mut self, factor: f64) {
        for (_, sum) in &mut self.buckets {
            *sum *= factor;
        }
        self.total *= factor;
    }
}
