//! Slopes: a figure at several sizes, fitted against what it should grow with. No I/O.

use serde::Serialize;

/// A line fitted to points by least squares.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// At a size of nothing.
    pub base: f64,
    /// For each more.
    pub slope: f64,
    /// What each point lies above the line.
    pub residuals: Vec<f64>,
}

/// The line through points; none if they are fewer than two or all of one size.
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let n = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let spread: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    if points.len() < 2 || spread == 0.0 {
        return None;
    }
    let slope = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>() / spread;
    let base = y - slope * x;
    let residuals = points.iter().map(|p| p.1 - base - slope * p.0).collect();
    Some(Fit { base, slope, residuals })
}
