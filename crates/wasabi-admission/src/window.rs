//! A sum over a sliding window of time.

use std::collections::VecDeque;

use wasabi_protocol::clock::Millis;

/// Length of the parts that the window is counted in, in milliseconds.
const PART: Millis = Millis(250);

/// Most seconds whose amounts are told apart.
const AGES_MAX: usize = 64;

/// Amounts of the last [`Window::span`] milliseconds, in parts of a quarter of a second. An amount
/// counts until its whole part has left the window.
#[derive(Debug, Clone, Default)]
pub struct Window {
    span: Millis,
    parts: VecDeque<(u64, f64)>,
    total: f64,
}

impl Window {
    /// Returns an empty window.
    pub fn new(span: Millis) -> Self {
        Self { span, ..Self::default() }
    }

    /// Returns the length, in milliseconds.
    pub fn span(&self) -> Millis {
        self.span
    }

    /// Follows a change of the length.
    pub fn set_span(&mut self, span: Millis) {
        self.span = span;
    }

    /// Adds an amount.
    pub fn add(&mut self, now: Millis, amount: f64) {
        self.total += amount;
        let part = now.0 / PART.0;
        match self.parts.back_mut() {
            Some((last, sum)) if part <= *last => *sum += amount,
            _ => self.parts.push_back((part, amount)),
        }
    }

    /// Adds an amount that was spread evenly over the window.
    pub fn add_spread(&mut self, now: Millis, amount: f64) {
        let count = (self.span.0 / PART.0).max(1);
        let last = now.0 / PART.0;
        let first = last.saturating_sub(count - 1);
        let each = amount / (last - first + 1) as f64;
        let parts = (first..=last).map(|part| (part, each)).collect();
        self.merge(&Self { span: self.span, parts, total: amount });
    }

    /// Returns the amounts of the window that ends now by their age in whole seconds, the latest
    /// first.
    pub fn by_age(&mut self, now: Millis) -> Vec<f64> {
        self.sum(now);
        let mut ages = Vec::new();
        for (part, sum) in self.parts.iter().rev() {
            let age = now.since(Millis(part * PART.0)).0 / 1_000;
            let index = usize::try_from(age).unwrap_or(usize::MAX).min(AGES_MAX - 1);
            if ages.len() <= index {
                ages.resize(index + 1, 0.0);
            }
            ages[index] += sum;
        }
        ages
    }

    /// Returns a window with amounts that were given by their age at `now`.
    pub fn aged(now: Millis, span: Millis, ages: &[f64]) -> Self {
        let mut window = Self::new(span);
        for (age, amount) in ages.iter().enumerate().take(AGES_MAX).rev() {
            let at = now - Millis::from_secs(age as u64);
            if 0.0 < *amount {
                window.add(at, *amount);
            }
        }
        window
    }

    /// Lowers the amounts from `from` up to `to` so that they add up to at most `most`.
    pub fn cap(&mut self, from: Millis, to: Millis, most: f64) {
        let covered = from.0.div_ceil(PART.0)..to.0 / PART.0;
        let sum: f64 = self
            .parts
            .iter()
            .filter(|(part, _)| covered.contains(part))
            .map(|(_, amount)| amount)
            .sum();
        if sum <= most {
            return;
        }
        for (_, amount) in self.parts.iter_mut().filter(|(part, _)| covered.contains(part)) {
            *amount *= most / sum;
        }
        self.total -= sum - most;
    }

    /// Adds the amounts of another window.
    pub fn merge(&mut self, other: &Self) {
        for (part, sum) in &other.parts {
            match self.parts.binary_search_by_key(part, |(held, _)| *held) {
                Ok(index) => self.parts[index].1 += sum,
                Err(index) => self.parts.insert(index, (*part, *sum)),
            }
            self.total += sum;
        }
    }

    /// Returns the sum of the window that ends now.
    pub fn sum(&mut self, now: Millis) -> f64 {
        let first = (now - self.span).0 / PART.0;
        while let Some((part, sum)) = self.parts.front().copied()
            && part < first
        {
            self.parts.pop_front();
            self.total -= sum;
        }
        if self.parts.is_empty() {
            // Sums of fractions do not cancel exactly.
            self.total = 0.0;
        }
        self.total
    }

    /// Scales all amounts, as when the limit that they count against changes.
    pub fn scale(&mut self, factor: f64) {
        for (_, sum) in &mut self.parts {
            *sum *= factor;
        }
        self.total *= factor;
    }
}
