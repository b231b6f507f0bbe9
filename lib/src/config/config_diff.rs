//! Difference between two sets of configuration files.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use smol_str::SmolStr;

/// Names of the files that differ.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ConfigDiff {
    /// Files that only the new set has.
    pub added: Vec<SmolStr>,
    /// Files that only the old set has.
    pub removed: Vec<SmolStr>,
    /// Files in both sets whose content differs.
    pub changed: Vec<SmolStr>,
}

impl ConfigDiff {
    /// Compares the `old` files with the `new` ones.
    pub fn between(old: &BTreeMap<SmolStr, String>, new: &BTreeMap<SmolStr, String>) -> Self {
        let mut diff = Self::default();
        for (name, text) in new {
            match old.get(name) {
                None => diff.added.push(name.clone()),
                Some(earlier) if earlier != text => diff.changed.push(name.clone()),
                Some(_) => {}
            }
        }
        for name in old.keys() {
            if !new.contains_key(name) {
                diff.removed.push(name.clone());
            }
        }
        diff
    }

    /// Returns whether the two sets are equal.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty() && self.changed.is_empty()
    }
}

impl fmt::Display for ConfigDiff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return writeln!(f, "no difference");
        }
        for name in &self.added {
            writeln!(f, "added {name}")?;
        }
        for name in &self.removed {
            writeln!(f, "removed {name}")?;
        }
        for name in &self.changed {
            writeln!(f, "changed {name}")?;
        }
        Ok(())
    }
}
