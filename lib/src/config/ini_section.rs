//! A section of the merged configuration, with the source position of each value.

use std::collections::BTreeMap;

use smol_str::SmolStr;

/// A value and its source position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IniValue {
    /// Text after the equals sign.
    pub text: SmolStr,
    /// Name of the file that sets the value.
    pub file: SmolStr,
    /// Line in that file, counted from 1.
    pub line: usize,
}

/// A `[kind name]` section after merging.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IniSection {
    /// First word of the header.
    pub kind: SmolStr,
    /// Second word of the header; empty when there is none.
    pub name: SmolStr,
    /// Name of the file in which the section first appears.
    pub file: SmolStr,
    /// Line of the header in that file.
    pub line: usize,
    /// Values by key; a later file overrides an earlier one.
    pub entries: BTreeMap<SmolStr, IniValue>,
}

impl IniSection {
    /// Returns the header in INI syntax.
    pub fn header(&self) -> String {
        if self.name.is_empty() {
            return format!("[{}]", self.kind);
        }
        format!("[{} {}]", self.kind, self.name)
    }
}
