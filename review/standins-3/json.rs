//! A small JSON reader and writer for the stand-ins.

use std::collections::BTreeMap;
use std::fmt;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses `text`; malformed text gives `None`.
    pub fn parse(text: &str) -> Option<Json> {
        let bytes: Vec<char> = text.chars().collect();
        let mut reader = Reader {
            text: &bytes,
            at: 0,
        };
        let value = reader.value()?;
        reader.skip_space();
        (reader.at == bytes.len()).then_some(value)
    }

    /// Returns a field of an object; `Null` if it is missing.
    pub fn get(&self, name: &str) -> &Json {
        static NULL: Json = Json::Null;
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&NULL),
            _ => &NULL,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

/// Builds an object.
pub fn object(fields: &[(&str, Json)]) -> Json {
    let fields = fields.iter();
    Json::Object(
        fields
            .map(|(name, value)| ((*name).to_owned(), value.clone()))
            .collect(),
    )
}

pub fn text(value: &str) -> Json {
    Json::Text(value.to_owned())
}

pub fn number(value: u64) -> Json {
    Json::Number(value as f64)
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(value) if value.fract() == 0.0 => write!(f, "{}", *value as i64),
            Json::Number(value) => write!(f, "{value}"),
            Json::Text(value) => write_text(f, value),
            Json::List(items) => {
                f.write_str("[")?;
                for (index, item) in items.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(f, "{comma}{item}")?;
                }
                f.write_str("]")
            }
            Json::Object(fields) => {
                f.write_str("{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    f.write_str(if index > 0 { "," } else { "" })?;
                    write_text(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, value: &str) -> fmt::Result {
    f.write_str("\"")?;
    for character in value.chars() {
        match character {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            '\n' => f.write_str("\\n")?,
            other if (other as u32) < 0x20 => write!(f, "\\u{:04x}", other as u32)?,
            other => write!(f, "{other}")?,
        }
    }
    f.write_str("\"")
}

struct Reader<'a> {
    text: &'a [char],
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self.text.get(self.at).is_some_and(|c| c.is_whitespace()) {
            self.at += 1;
        }
    }

    fn peek(&mut self) -> Option<char> {
        self.skip_space();
        self.text.get(self.at).copied()
    }

    fn take(&mut self, wanted: char) -> Option<()> {
        (self.peek()? == wanted).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        let found: String = self.text.get(self.at..end)?.iter().collect();
        (found == word).then(|| {
            self.at = end;
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            'n' => self.word("null", Json::Null),
            't' => self.word("true", Json::Bool(true)),
            'f' => self.word("false", Json::Bool(false)),
            '"' => Some(Json::Text(self.string()?)),
            '[' => {
                self.take('[')?;
                let mut items = Vec::new();
                if self.peek()? == ']' {
                    self.at += 1;
                    return Some(Json::List(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.peek()? == ',' {
                        self.at += 1;
                        continue;
                    }
                    self.take(']')?;
                    return Some(Json::List(items));
                }
            }
            '{' => {
                self.take('{')?;
                let mut fields = BTreeMap::new();
                if self.peek()? == '}' {
                    self.at += 1;
                    return Some(Json::Object(fields));
                }
                loop {
                    self.skip_space();
                    let name = self.string()?;
                    self.take(':')?;
                    fields.insert(name, self.value()?);
                    if self.peek()? == ',' {
                        self.at += 1;
                        continue;
                    }
                    self.take('}')?;
                    return Some(Json::Object(fields));
                }
            }
            _ => {
                let start = self.at;
                while self
                    .text
                    .get(self.at)
                    .is_some_and(|c| "+-.eE0123456789".contains(*c))
                {
                    self.at += 1;
                }
                let number: String = self.text[start..self.at].iter().collect();
                number.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take('"')?;
        let mut value = String::new();
        loop {
            let character = *self.text.get(self.at)?;
            self.at += 1;
            match character {
                '"' => return Some(value),
                '\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        'n' => value.push('\n'),
                        't' => value.push('\t'),
                        'r' => value.push('\r'),
                        'b' => value.push('\u{8}'),
                        'f' => value.push('\u{c}'),
                        'u' => {
                            let code: String =
                                self.text.get(self.at..self.at + 4)?.iter().collect();
                            self.at += 4;
                            let code = u32::from_str_radix(&code, 16).ok()?;
                            value.push(char::from_u32(code).unwrap_or('?'));
                        }
                        other => value.push(other),
                    }
                }
                other => value.push(other),
            }
        }
    }
}
