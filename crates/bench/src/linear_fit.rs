//! Least-squares fit of a straight line.

/// Returns the intercept and slope of the least-squares line through `points`: `y = intercept + slope * x`.
pub(crate) fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let sum_of_squares: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let sum_of_products: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = if sum_of_squares > 0.0 {
        sum_of_products / sum_of_squares
    } else {
        0.0
    };
    (mean_y - slope * mean_x, slope)
}
