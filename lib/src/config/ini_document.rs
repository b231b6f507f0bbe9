//! INI files merged in the order of their names.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use ini::Ini;
use ini::ParseOption;
use smol_str::SmolStr;

use super::ConfigProblem;
use super::IniSection;
use super::IniValue;

/// Keys that identify an object. Setting one in a second file is an error, since
/// it means that two files define the same object.
const SET_ONCE_KEYS: [&str; 2] = ["address", "domain"];

/// The merged sections of a set of INI files.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IniDocument {
    /// Sections by kind and name.
    pub sections: BTreeMap<(SmolStr, SmolStr), IniSection>,
}

impl IniDocument {
    /// Parses and merges `files` in the order of their names.
    pub fn merge(files: &BTreeMap<SmolStr, String>) -> Result<Self, Vec<ConfigProblem>> {
        let mut document = Self::default();
        let mut problems = Vec::new();
        for (file, text) in files {
            document.merge_file(file, text, &mut problems);
        }
        if problems.is_empty() {
            return Ok(document);
        }
        problems.sort();
        Err(problems)
    }

    /// Returns the sections of one kind, ordered by name.
    pub fn sections_of_kind<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a IniSection> {
        self.sections
            .values()
            .filter(move |section| section.kind == kind)
    }

    /// Returns the first section of `kind`, or an empty section attributed to `file`.
    pub fn section_or_empty(&self, kind: &str, file: &SmolStr) -> IniSection {
        let found = self.sections_of_kind(kind).next().cloned();
        found.unwrap_or_else(|| IniSection {
            kind: kind.into(),
            name: SmolStr::default(),
            file: file.clone(),
            line: 0,
            entries: BTreeMap::new(),
        })
    }

    fn merge_file(&mut self, file: &SmolStr, text: &str, problems: &mut Vec<ConfigProblem>) {
        let options = ParseOption {
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = match Ini::load_from_str_opt(text, options) {
            Ok(ini) => ini,
            Err(error) => {
                let message = format!("syntax error at column {}: {}", error.col, error.msg);
                problems.push(ConfigProblem {
                    file: file.clone(),
                    line: error.line,
                    message,
                });
                return;
            }
        };
        let lines = LineIndex::of(text);
        let mut seen_headers = BTreeSet::new();
        for (header, properties) in ini.iter() {
            let Some(header) = header else {
                if let Some((key, _)) = properties.iter().next() {
                    let message = format!("key {key:?} appears before the first section header");
                    problems.push(ConfigProblem {
                        file: file.clone(),
                        line: 1,
                        message,
                    });
                }
                continue;
            };
            let header_line = lines.header(header);
            if !seen_headers.insert(header) {
                let message = format!("section [{header}] appears twice in this file");
                problems.push(ConfigProblem {
                    file: file.clone(),
                    line: header_line,
                    message,
                });
                continue;
            }
            let section = self.section(header, file, header_line);
            for (key, value) in properties.iter() {
                let line = lines.key(header, key);
                let earlier = section.entries.get(key);
                let is_set_once = SET_ONCE_KEYS.contains(&key);
                if let (true, Some(earlier)) = (is_set_once, earlier) {
                    let message = format!(
                        "[{header}] is defined twice: {key:?} is already set in {}:{}",
                        earlier.file, earlier.line
                    );
                    problems.push(ConfigProblem {
                        file: file.clone(),
                        line,
                        message,
                    });
                    continue;
                }
                let value = IniValue {
                    text: value.trim().into(),
                    file: file.clone(),
                    line,
                };
                section.entries.insert(key.into(), value);
            }
        }
    }

    fn section(&mut self, header: &str, file: &SmolStr, line: usize) -> &mut IniSection {
        let (kind, name) = header
            .trim()
            .split_once(char::is_whitespace)
            .unwrap_or((header, ""));
        let kind = SmolStr::from(kind.trim());
        let name = SmolStr::from(name.trim());
        let key = (kind.clone(), name.clone());
        self.sections.entry(key).or_insert_with(|| IniSection {
            kind,
            name,
            file: file.clone(),
            line,
            entries: BTreeMap::new(),
        })
    }
}

/// Line numbers of headers and keys, which the INI parser does not report.
struct LineIndex<'a> {
    headers: BTreeMap<&'a str, usize>,
    keys: BTreeMap<(&'a str, &'a str), usize>,
}

impl<'a> LineIndex<'a> {
    fn of(text: &'a str) -> Self {
        let mut headers = BTreeMap::new();
        let mut keys = BTreeMap::new();
        let mut header = "";
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if let Some(inner) = line
                .strip_prefix('[')
                .and_then(|rest| rest.split(']').next())
            {
                header = inner;
                headers.insert(header, index + 1);
                continue;
            }
            let Some((key, _)) = line.split_once(['=', ':']) else {
                continue;
            };
            keys.entry((header, key.trim())).or_insert(index + 1);
        }
        Self { headers, keys }
    }

    fn header(&self, header: &str) -> usize {
        self.headers.get(header).copied().unwrap_or(0)
    }

    fn key(&self, header: &str, key: &str) -> usize {
        self.keys
            .get(&(header, key))
            .copied()
            .unwrap_or_else(|| self.header(header))
    }
}
