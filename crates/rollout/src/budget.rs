//! How many units may be away at once.

use serde::{Deserialize, Serialize};

/// A budget by count, by share and by zone; each bound holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Units away at once.
    pub most: u32,
    /// Units away at once, in thousandths of all, rounded down; but one unit may always go, else nothing ever could.
    pub share_per_mille: u32,
    /// Units away at once in one zone.
    pub zone_most: Option<u32>,
}

/// Why the budget has no place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Over {
    /// Units away now.
    pub away: u32,
    /// How many may be.
    pub most: u32,
    /// The zone whose bound it is, if it is a zone's.
    pub zone: Option<String>,
}

impl std::fmt::Display for Over {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the budget has no place: {} away of {} allowed", self.away, self.most)?;
        self.zone.as_ref().map_or(Ok(()), |zone| write!(f, " in zone {zone}"))
    }
}

impl Budget {
    /// Units of `all` that may be away at once.
    pub fn limit(&self, all: usize) -> u32 {
        let share = (all as u64 * u64::from(self.share_per_mille) / 1_000).max(1);
        self.most.min(u32::try_from(share).unwrap_or(u32::MAX))
    }

    /// Whether one more unit, of `zone`, may go while those in `away` (each with its zone) are away already.
    ///
    /// # Errors
    /// [`Over`] with the bound that has no place.
    pub fn admits<'a>(
        &self,
        all: usize,
        zone: Option<&str>,
        away: impl Iterator<Item = Option<&'a str>>,
    ) -> Result<(), Over> {
        let (mut whole, mut near) = (0, 0);
        for other in away {
            whole += 1;
            near += u32::from(zone.is_some() && other == zone);
        }
        let most = self.limit(all);
        if whole >= most {
            return Err(Over { away: whole, most, zone: None });
        }
        match (self.zone_most, zone) {
            (Some(most), Some(zone)) if near >= most => {
                Err(Over { away: near, most, zone: Some(zone.to_owned()) })
            }
            _ => Ok(()),
        }
    }
}
