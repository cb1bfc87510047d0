//! The max-min fair level of a capacity, by water filling.

/// Returns the max-min fair level of a capacity among demands, each with the number of parties
/// that have this demand. A party gets the lesser of its demand and the level.
///
/// Returns `None` if the capacity satisfies all demands.
pub fn level(capacity: f64, demands: &mut [(f64, u32)]) -> Option<f64> {
    demands.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    let mut parties: f64 = demands.iter().map(|(_, count)| f64::from(*count)).sum();
    let mut left = capacity;
    for (demand, count) in demands {
        let level = left / parties;
        if *demand > level {
            return Some(level);
        }
        let count = f64::from(*count);
        left -= *demand * count;
        parties -= count;
    }
    None
}
