//! The newest era of the store that is known.

use super::EraVerdict;
use super::StoreEra;

/// Keeps the newest era that any answer of the store has shown.
#[derive(Clone, Debug, Default)]
pub struct EraTracker {
    newest: Option<StoreEra>,
}

impl EraTracker {
    /// Records the era of an answer. The first answer ever begins no era.
    pub fn observe(&mut self, era: StoreEra) -> EraVerdict {
        match self.newest {
            Some(newest) if era < newest => EraVerdict::Outdated,
            Some(newest) if era > newest => {
                self.newest = Some(era);
                EraVerdict::Begun
            }
            _ => {
                self.newest = Some(era);
                EraVerdict::Current
            }
        }
    }

    /// Returns the newest era, or `None` before the first answer.
    pub fn newest(&self) -> Option<StoreEra> {
        self.newest
    }
}
