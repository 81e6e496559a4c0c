//! Linear regression: how a metric grows with the size of a run. No I/O.

/// A line fitted to points by least squares.
#[derive(Clone, Debug, PartialEq)]
pub struct LineFit {
    /// The value at size zero.
    pub intercept: f64,
    /// The growth per unit of size.
    pub slope: f64,
    /// The difference of each point's value from the line; positive above the line.
    pub residuals: Vec<f64>,
}

/// Fits a line to points of size and value. Returns `None` for fewer than two points, or if all points have the same
/// size.
pub fn fit_line(points: &[(f64, f64)]) -> Option<LineFit> {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    if points.len() < 2 || variance == 0.0 {
        return None;
    }
    let covariance = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum::<f64>();
    let slope = covariance / variance;
    let intercept = mean_y - slope * mean_x;
    let residuals = points.iter().map(|p| p.1 - intercept - slope * p.0).collect();
    Some(LineFit { intercept, slope, residuals })
}
