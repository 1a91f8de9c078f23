//! Straight lines through measured points.

/// Returns value and slope of the straight line through the points, by least squares: `y = value + slope * x`.
pub(crate) fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let variance_sum: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let covariance_sum: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = if variance_sum > 0.0 {
        covariance_sum / variance_sum
    } else {
        0.0
    };
    (mean_y - slope * mean_x, slope)
}
