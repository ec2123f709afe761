//! A sum over a sliding window of time.

use std::collections::VecDeque;

use wasabi_protocol::clock::Millis;

/// Length of the parts that the window is counted in, in milliseconds.
const PART: Millis = Millis(250);

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
        let mut sums: VecDeque<_> = (first..=last).map(|part| (part, each)).collect();
        for (part, sum) in self.parts.drain(..) {
            match sums.iter_mut().find(|(other, _)| *other == part) {
                Some((_, held)) => *held += sum,
                None => sums.push_front((part, sum)),
            }
        }
        sums.make_contiguous().sort_unstable_by_key(|(part, _)| *part);
        self.parts = sums;
        self.total += amount;
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
