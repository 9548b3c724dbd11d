//! The level of weighted max-min shares.

/// The demand of a workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Requests that it sends.
    pub requests: f64,
    /// Its weight, above zero: its share is the level times this.
    pub weight: f64,
}

/// Returns the level at which the sum of the smaller of demand and weighted level equals
/// `capacity`, in requests; infinite if the capacity is enough for all demands.
pub fn max_min_level(mut demands: Vec<Demand>, capacity: f64) -> f64 {
    demands.retain(|demand| demand.weight > 0.0 && demand.requests > 0.0);
    let filled_at = |demand: &Demand| demand.requests / demand.weight;
    demands.sort_unstable_by(|one, other| filled_at(one).total_cmp(&filled_at(other)));
    let mut weight: f64 = demands.iter().map(|demand| demand.weight).sum();
    let mut left = capacity.max(0.0);
    for demand in &demands {
        if filled_at(demand) * weight > left {
            return left / weight;
        }
        left -= demand.requests;
        weight -= demand.weight;
    }
    f64::INFINITY
}
