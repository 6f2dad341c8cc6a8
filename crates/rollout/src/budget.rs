//! The disruption budget: how many units (front nodes or index servers) may be unavailable at the same time.
//!
//! The status report of a member prints unavailable units as "away".

use serde::{Deserialize, Serialize};

/// Limits on the units that may be unavailable at the same time: by count, by share and by zone. All limits
/// apply together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Maximum number of unavailable units.
    pub max_unavailable: u32,
    /// Maximum share of unavailable units, in thousandths of all units, rounded down to whole units. The
    /// share always allows one unit, because with zero no unit could ever be drained or updated.
    pub max_unavailable_per_mille: u32,
    /// Maximum number of unavailable units in one zone; `None` for no limit by zone.
    pub max_unavailable_per_zone: Option<u32>,
}

/// The limit of a [`Budget`] that is used up.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[error("the budget is used up: {unavailable} away of {limit} allowed{}", in_zone(.zone.as_deref()))]
pub struct BudgetExceeded {
    /// Number of units that are unavailable now.
    pub unavailable: u32,
    /// Number of units that may be unavailable.
    pub limit: u32,
    /// The zone whose limit is used up; `None` for the limit over all units.
    pub zone: Option<String>,
}

/// Returns the end of the error message for the limit of a zone.
fn in_zone(zone: Option<&str>) -> String {
    zone.map(|zone| format!(" in zone {zone}")).unwrap_or_default()
}

impl Budget {
    /// Returns how many of `total` units may be unavailable at the same time, in all zones together.
    pub fn limit(&self, total: usize) -> u32 {
        let share = (total as u64 * u64::from(self.max_unavailable_per_mille) / 1_000).max(1);
        self.max_unavailable.min(u32::try_from(share).unwrap_or(u32::MAX))
    }

    /// Checks whether one more of `total` units, which is in `zone`, may become unavailable.
    /// `unavailable_zones` yields the zone of each unit that is unavailable already.
    ///
    /// # Errors
    /// [`BudgetExceeded`] with the limit that is used up.
    pub fn check<'a>(
        &self,
        total: usize,
        zone: Option<&str>,
        unavailable_zones: impl Iterator<Item = Option<&'a str>>,
    ) -> Result<(), BudgetExceeded> {
        let mut unavailable = 0;
        let mut unavailable_in_zone = 0;
        for unavailable_zone in unavailable_zones {
            unavailable += 1;
            unavailable_in_zone += u32::from(zone.is_some() && unavailable_zone == zone);
        }
        let limit = self.limit(total);
        if unavailable >= limit {
            return Err(BudgetExceeded { unavailable, limit, zone: None });
        }
        match (self.max_unavailable_per_zone, zone) {
            (Some(limit), Some(zone)) if unavailable_in_zone >= limit => {
                Err(BudgetExceeded { unavailable: unavailable_in_zone, limit, zone: Some(zone.to_owned()) })
            }
            _ => Ok(()),
        }
    }
}
