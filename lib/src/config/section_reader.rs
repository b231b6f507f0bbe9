//! Typed access to the values of one section.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::str::FromStr;

use smol_str::SmolStr;

use super::ConfigProblem;
use super::IniSection;
use super::IniValue;
use crate::ids::Milliseconds;

/// Reads the keys of a section and collects validation problems.
///
/// `finish` reports keys that have not been read as unknown.
pub struct SectionReader<'a> {
    section: &'a IniSection,
    known_keys: BTreeSet<&'static str>,
    problems: &'a mut Vec<ConfigProblem>,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader of `section` that appends to `problems`.
    pub fn new(section: &'a IniSection, problems: &'a mut Vec<ConfigProblem>) -> Self {
        Self {
            section,
            known_keys: BTreeSet::new(),
            problems,
        }
    }

    /// Returns the text of a required key.
    pub fn text(&mut self, key: &'static str) -> SmolStr {
        if let Some(value) = self.value(key) {
            return value.text.clone();
        }
        self.report_section(format!("key {key:?} is missing"));
        SmolStr::default()
    }

    /// Returns the text of a key, or `default` when it is absent.
    pub fn text_or(&mut self, key: &'static str, default: &str) -> SmolStr {
        self.value(key)
            .map_or_else(|| default.into(), |value| value.text.clone())
    }

    /// Returns the comma-separated items of a key, or none when it is absent.
    pub fn list(&mut self, key: &'static str) -> Vec<SmolStr> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let items = value.text.split(',').map(str::trim);
        items
            .filter(|item| !item.is_empty())
            .map(SmolStr::from)
            .collect()
    }

    /// Returns an integer of at least `minimum`.
    pub fn count(&mut self, key: &'static str, default: u64, minimum: u64) -> u64 {
        let expected = format!("a whole number of at least {minimum}");
        let count = self.parsed(key, default, &expected, |text| text.parse::<u64>().ok());
        if count < minimum {
            self.report_value(key, &expected);
        }
        count
    }

    /// Returns a boolean written as `yes` or `no`.
    pub fn flag(&mut self, key: &'static str, default: bool) -> bool {
        self.parsed(key, default, "yes or no", |text| match text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        })
    }

    /// Returns a duration in milliseconds; a unit is required, as in `250ms` or `3s`.
    pub fn duration_ms(&mut self, key: &'static str, default: Milliseconds) -> Milliseconds {
        let expected = "a duration with a unit, such as 250ms, 3s or 2m";
        self.parsed(key, default, expected, |text| {
            let duration = humantime::parse_duration(text).ok()?;
            Milliseconds::try_from(duration.as_millis()).ok()
        })
    }

    /// Returns a size in bytes; a unit is required, as in `64KiB` or `1MiB`.
    pub fn size(&mut self, key: &'static str, default: u64) -> u64 {
        let expected = "a size with a unit, such as 64KiB or 1MiB";
        self.parsed(key, default, expected, |text| {
            let has_unit = text.ends_with('B');
            let size = text.parse::<bytesize::ByteSize>().ok()?;
            has_unit.then(|| size.as_u64())
        })
    }

    /// Returns the IP address and port of a required key.
    pub fn address(&mut self, key: &'static str) -> SocketAddr {
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        if self.value(key).is_none() {
            self.report_section(format!("key {key:?} is missing"));
            return unset;
        }
        self.parsed(
            key,
            unset,
            "an IP address and a port, such as 10.1.0.4:9000",
            |text| SocketAddr::from_str(text).ok(),
        )
    }

    /// Reports that the value of `key` is not of the expected form.
    pub fn report_value(&mut self, key: &'static str, expected: &str) {
        let Some(value) = self.section.entries.get(key) else {
            self.report_section(format!("key {key:?}: expected {expected}"));
            return;
        };
        let header = self.section.header();
        let message = format!("{header} {key} = {:?}: expected {expected}", value.text);
        self.problems.push(ConfigProblem {
            file: value.file.clone(),
            line: value.line,
            message,
        });
    }

    /// Reports a problem that concerns the whole section.
    pub fn report_section(&mut self, message: String) {
        let message = format!("{} {message}", self.section.header());
        let file = self.section.file.clone();
        self.problems.push(ConfigProblem {
            file,
            line: self.section.line,
            message,
        });
    }

    /// Reports every key that has not been read as unknown.
    pub fn finish(self) {
        let expected = self
            .known_keys
            .iter()
            .copied()
            .collect::<Vec<_>>()
            .join(", ");
        for (key, value) in &self.section.entries {
            if self.known_keys.contains(key.as_str()) {
                continue;
            }
            let header = self.section.header();
            let message = format!("{header} key {key:?} is not known; expected one of {expected}");
            let file = value.file.clone();
            self.problems.push(ConfigProblem {
                file,
                line: value.line,
                message,
            });
        }
    }

    fn value(&mut self, key: &'static str) -> Option<&'a IniValue> {
        self.known_keys.insert(key);
        self.section.entries.get(key)
    }

    fn parsed<T>(
        &mut self,
        key: &'static str,
        default: T,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> T {
        let Some(value) = self.value(key) else {
            return default;
        };
        if let Some(parsed) = parse(&value.text) {
            return parsed;
        }
        self.report_value(key, expected);
        default
    }
}
