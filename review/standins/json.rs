//! A small JSON reader and writer, so that the stand-ins need no dependency.

use std::collections::BTreeMap;

/// A JSON value. Numbers keep their text, so that integers of 64 bits stay exact.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    Arr(Vec<Json>),
    Obj(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut p = Parser { s: text, at: 0 };
        let value = p.value()?;
        p.space();
        (p.at == p.s.len()).then_some(value)
    }
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Obj(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }
    pub fn str(&self) -> &str {
        match self {
            Json::Str(s) => s,
            _ => "",
        }
    }
    pub fn u64(&self) -> u64 {
        match self {
            Json::Num(n) => n.parse().unwrap_or(0),
            _ => 0,
        }
    }
    pub fn f64(&self) -> f64 {
        match self {
            Json::Num(n) => n.parse().unwrap_or(0.0),
            _ => 0.0,
        }
    }
    pub fn arr(&self) -> &[Json] {
        match self {
            Json::Arr(list) => list,
            _ => &[],
        }
    }
    pub fn is_null(&self) -> bool {
        matches!(self, Json::Null)
    }
    pub fn text(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }
    fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(b) => out.push_str(if *b { "true" } else { "false" }),
            Json::Num(n) => out.push_str(n),
            Json::Str(s) => quote(s, out),
            Json::Arr(list) => {
                out.push('[');
                for (i, v) in list.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    v.write(out);
                }
                out.push(']');
            }
            Json::Obj(map) => {
                out.push('{');
                for (i, (k, v)) in map.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    quote(k, out);
                    out.push(':');
                    v.write(out);
                }
                out.push('}');
            }
        }
    }
}

fn quote(s: &str, out: &mut String) {
    out.push('"');
    for c in s.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
}

pub fn s(text: impl Into<String>) -> Json {
    Json::Str(text.into())
}
pub fn n(number: impl std::fmt::Display) -> Json {
    Json::Num(number.to_string())
}
pub fn obj<const N: usize>(fields: [(&str, Json); N]) -> Json {
    Json::Obj(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
}

struct Parser<'a> {
    s: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.s.get(self.at).is_some_and(|b| b.is_ascii_whitespace()) {
            self.at += 1;
        }
    }
    fn eat(&mut self, word: &str) -> Option<()> {
        self.s[self.at..].starts_with(word.as_bytes()).then(|| self.at += word.len())
    }
    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.s.get(self.at)? {
            b'n' => self.eat("null").map(|()| Json::Null),
            b't' => self.eat("true").map(|()| Json::Bool(true)),
            b'f' => self.eat("false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Str),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                loop {
                    self.space();
                    if *self.s.get(self.at)? == b']' {
                        self.at += 1;
                        return Some(Json::Arr(list));
                    }
                    if !list.is_empty() {
                        self.eat(",")?;
                    }
                    list.push(self.value()?);
                }
            }
            b'{' => {
                self.at += 1;
                let mut map = BTreeMap::new();
                loop {
                    self.space();
                    if *self.s.get(self.at)? == b'}' {
                        self.at += 1;
                        return Some(Json::Obj(map));
                    }
                    if !map.is_empty() {
                        self.eat(",")?;
                        self.space();
                    }
                    let key = self.string()?;
                    self.space();
                    self.eat(":")?;
                    let value = self.value()?;
                    map.insert(key, value);
                }
            }
            _ => {
                let from = self.at;
                while self.s.get(self.at).is_some_and(|b| b"+-.0123456789eE".contains(b)) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.s[from..self.at]).ok()?;
                text.parse::<f64>().ok()?;
                Some(Json::Num(text.to_owned()))
            }
        }
    }
    fn string(&mut self) -> Option<String> {
        self.eat("\"")?;
        let mut bytes = Vec::new();
        loop {
            match *self.s.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(bytes).ok();
                }
                b'\\' => {
                    let c = *self.s.get(self.at + 1)?;
                    self.at += 2;
                    let ch = match c {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let hex = std::str::from_utf8(self.s.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            char::from_u32(u32::from_str_radix(hex, 16).ok()?).unwrap_or('?')
                        }
                        other => other as char,
                    };
                    bytes.extend(ch.to_string().into_bytes());
                }
                b => {
                    bytes.push(b);
                    self.at += 1;
                }
            }
        }
    }
}
