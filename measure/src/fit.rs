//! Least squares over measured points.

use serde::Serialize;

/// A line `y = base + slope * x`.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct FittedLine {
    /// Value at `x` = 0.
    pub base: f64,
    /// Rise for each unit of `x`.
    pub slope: f64,
    /// Share of the variance that the line explains.
    pub r_squared: f64,
}

impl FittedLine {
    /// Value at `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// Fits a line to points by least squares; `None` for fewer than two different `x`.
#[must_use]
pub fn fit_line(points: &[(f64, f64)]) -> Option<FittedLine> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let mut spread_x = 0.0;
    let mut spread_y = 0.0;
    let mut product = 0.0;
    for (x, y) in points {
        spread_x += (x - mean_x).powi(2);
        spread_y += (y - mean_y).powi(2);
        product += (x - mean_x) * (y - mean_y);
    }
    if points.len() < 2 || spread_x == 0.0 {
        return None;
    }
    let slope = product / spread_x;
    let r_squared = if spread_y == 0.0 {
        1.0
    } else {
        product.powi(2) / (spread_x * spread_y)
    };
    Some(FittedLine {
        base: mean_y - slope * mean_x,
        slope,
        r_squared,
    })
}

/// Middle value of a list; 0 when it is empty.
#[must_use]
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}
