//! Parses JSON with comments and reports all mistakes in a file, each with its line and field.
//!
//! Settings and declarations are parsed with this module. A file with a mistake is rejected as a
//! whole, so that an operator sees all its mistakes at once and none of it is applied.

use std::cell::RefCell;
use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::sync::Arc;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;

/// Describes one mistake in a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mistake {
    pub file: Arc<str>,
    /// Line number, counted from 1.
    pub line: usize,
    /// Path of the field, for instance `limits.body_bytes`; empty for the whole document.
    pub field: String,
    pub message: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.message)
    }
}

#[derive(Debug)]
struct Mistakes<'a> {
    file: Arc<str>,
    text: &'a str,
    list: RefCell<Vec<Mistake>>,
}

impl Mistakes<'_> {
    fn line(&self, offset: usize) -> usize {
        let end = offset.min(self.text.len());
        self.text.as_bytes()[..end].iter().filter(|&&byte| byte == b'\n').count() + 1
    }

    fn add(&self, offset: usize, field: String, message: String) {
        let line = self.line(offset);
        let mistake = Mistake { file: self.file.clone(), line, field, message };
        self.list.borrow_mut().push(mistake);
    }
}

/// Reads the fields of one object and reports those that were never requested as unknown.
#[derive(Debug)]
pub struct Reader<'a> {
    mistakes: &'a Mistakes<'a>,
    object: &'a ast::Object<'a>,
    path: String,
    requested: Vec<&'static str>,
}

/// Parses a document whose top level is one object; fails with all mistakes found.
pub fn read<T>(
    file: &str,
    text: &str,
    build: impl FnOnce(&mut Reader<'_>) -> T,
) -> Result<T, Vec<Mistake>> {
    let mut items = read_each(file, text, false, call_once(build))?;
    items.pop().flatten().ok_or_else(Vec::new)
}

/// Parses a document whose top level is one object or an array of objects; fails with all mistakes
/// found.
pub fn read_all<T>(
    file: &str,
    text: &str,
    mut build: impl FnMut(&mut Reader<'_>) -> T,
) -> Result<Vec<T>, Vec<Mistake>> {
    let items = read_each(file, text, true, |reader| Some(build(reader)))?;
    Ok(items.into_iter().flatten().collect())
}

fn call_once<T>(
    build: impl FnOnce(&mut Reader<'_>) -> T,
) -> impl FnMut(&mut Reader<'_>) -> Option<T> {
    let mut build = Some(build);
    move |reader| build.take().map(|build| build(reader))
}

fn read_each<T>(
    file: &str,
    text: &str,
    allow_list: bool,
    mut build: impl FnMut(&mut Reader<'_>) -> Option<T>,
) -> Result<Vec<Option<T>>, Vec<Mistake>> {
    let mistakes = Mistakes { file: file.into(), text, list: RefCell::default() };
    let collect_options = jsonc_parser::CollectOptions::default();
    let parsed = match jsonc_parser::parse_to_ast(text, &collect_options, &options()) {
        Ok(parsed) => parsed,
        Err(error) => {
            mistakes.add(error.range().start, String::new(), error.kind().to_string());
            return Err(mistakes.list.into_inner());
        }
    };
    let mut items = Vec::new();
    match &parsed.value {
        Some(ast::Value::Object(object)) => {
            items.push(read_object(&mistakes, object, String::new(), &mut build));
        }
        Some(ast::Value::Array(array)) if allow_list => {
            for (index, value) in array.elements.iter().enumerate() {
                match value {
                    ast::Value::Object(object) => {
                        let path = format!("[{index}]");
                        items.push(read_object(&mistakes, object, path, &mut build));
                    }
                    other => {
                        mistakes.add(
                            other.start(),
                            format!("[{index}]"),
                            "expected an object".to_owned(),
                        );
                    }
                }
            }
        }
        Some(other) => mistakes.add(other.start(), String::new(), "expected an object".to_owned()),
        None => mistakes.add(0, String::new(), "the document is empty".to_owned()),
    }
    let found = mistakes.list.into_inner();
    if found.is_empty() { Ok(items) } else { Err(found) }
}

fn options() -> jsonc_parser::ParseOptions {
    jsonc_parser::ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

fn read_object<'a, T>(
    mistakes: &'a Mistakes<'a>,
    object: &'a ast::Object<'a>,
    path: String,
    build: &mut impl FnMut(&mut Reader<'_>) -> T,
) -> T {
    let mut reader = Reader { mistakes, object, path, requested: Vec::new() };
    let built = build(&mut reader);
    reader.check_unknown();
    built
}

impl<'a> Reader<'a> {
    /// Reports a mistake in a field whose value has the right type, for instance a bad reference.
    pub fn reject(&self, name: &str, message: impl Into<String>) {
        let offset = self.find_value(name).map_or(self.object.range.start, |value| value.start());
        self.mistakes.add(offset, self.field_path(name), message.into());
    }

    /// Returns the line at which the object starts, so that later checks can report it.
    pub fn line(&self) -> usize {
        self.mistakes.line(self.object.range.start)
    }

    pub fn has(&self, name: &str) -> bool {
        self.find_value(name).is_some()
    }

    pub fn text(&mut self, name: &'static str) -> Arc<str> {
        match self.optional_text(name) {
            Some(text) if !text.is_empty() => text,
            Some(_) => {
                self.reject(name, "must not be empty");
                Arc::from("")
            }
            None => {
                self.reject_missing(name);
                Arc::from("")
            }
        }
    }

    pub fn optional_text(&mut self, name: &'static str) -> Option<Arc<str>> {
        match self.field_value(name)? {
            ast::Value::StringLit(literal) => Some(Arc::from(literal.value.as_ref())),
            _ => {
                self.reject(name, "expected a string");
                Some(Arc::from("?"))
            }
        }
    }

    /// Reads a required string and parses it, for instance as an address; `None` after a mistake.
    pub fn parsed<T: FromStr>(&mut self, name: &'static str, expected: &str) -> Option<T> {
        let text = self.text(name);
        if text.is_empty() {
            return None;
        }
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.reject(name, format!("expected {expected}, found \"{text}\""));
        }
        parsed
    }

    /// Reads a number within `bounds`; the field is required if there is no default.
    pub fn number<T>(
        &mut self,
        name: &'static str,
        bounds: RangeInclusive<T>,
        default: Option<T>,
    ) -> T
    where
        T: FromStr + PartialOrd + Copy + fmt::Display,
    {
        let lowest = *bounds.start();
        let Some(value) = self.field_value(name) else {
            return default.unwrap_or_else(|| {
                self.reject_missing(name);
                lowest
            });
        };
        let number = match value {
            ast::Value::NumberLit(literal) => literal.value.parse().ok(),
            _ => None,
        };
        match number {
            Some(number) if bounds.contains(&number) => number,
            _ => {
                let message =
                    format!("expected a number from {} to {}", bounds.start(), bounds.end());
                self.reject(name, message);
                lowest
            }
        }
    }

    pub fn flag(&mut self, name: &'static str, default: bool) -> bool {
        match self.field_value(name) {
            None => default,
            Some(ast::Value::BooleanLit(literal)) => literal.value,
            Some(_) => {
                self.reject(name, "expected true or false");
                default
            }
        }
    }

    /// Reads a string that must be one of `choices`; the field is required if there is no default.
    pub fn choice<T: Copy>(
        &mut self,
        name: &'static str,
        choices: &[(&str, T)],
        default: Option<T>,
    ) -> Option<T> {
        let Some(text) = self.optional_text(name) else {
            if default.is_none() {
                self.reject_missing(name);
            }
            return default;
        };
        let found = choices.iter().find(|(word, _)| *word == &*text).map(|&(_, value)| value);
        if found.is_none() {
            let words: Vec<_> = choices.iter().map(|(word, _)| *word).collect();
            self.reject(name, format!("expected one of {}", words.join(", ")));
        }
        found
    }

    pub fn texts(&mut self, name: &'static str) -> Vec<Arc<str>> {
        let Some(array) = self.array(name) else { return Vec::new() };
        let mut texts = Vec::new();
        for (index, value) in array.elements.iter().enumerate() {
            match value {
                ast::Value::StringLit(literal) => texts.push(Arc::from(literal.value.as_ref())),
                other => self.reject_item(other, name, index, "expected a string"),
            }
        }
        texts
    }

    /// Reads an optional nested object.
    pub fn object<T>(
        &mut self,
        name: &'static str,
        build: impl FnOnce(&mut Reader<'_>) -> T,
    ) -> Option<T> {
        match self.field_value(name)? {
            ast::Value::Object(object) => {
                read_object(self.mistakes, object, self.field_path(name), &mut call_once(build))
            }
            _ => {
                self.reject(name, "expected an object");
                None
            }
        }
    }

    /// Reads an optional array of objects.
    pub fn objects<T>(
        &mut self,
        name: &'static str,
        mut build: impl FnMut(&mut Reader<'_>) -> T,
    ) -> Vec<T> {
        let Some(array) = self.array(name) else { return Vec::new() };
        let mut items = Vec::new();
        for (index, value) in array.elements.iter().enumerate() {
            match value {
                ast::Value::Object(object) => {
                    let path = format!("{}[{index}]", self.field_path(name));
                    items.push(read_object(self.mistakes, object, path, &mut build));
                }
                other => self.reject_item(other, name, index, "expected an object"),
            }
        }
        items
    }

    fn array(&mut self, name: &'static str) -> Option<&'a ast::Array<'a>> {
        match self.field_value(name)? {
            ast::Value::Array(array) => Some(array),
            _ => {
                self.reject(name, "expected an array");
                None
            }
        }
    }

    fn reject_item(&self, value: &ast::Value<'_>, name: &str, index: usize, message: &str) {
        let field = format!("{}[{index}]", self.field_path(name));
        self.mistakes.add(value.start(), field, message.to_owned());
    }

    fn reject_missing(&self, name: &str) {
        self.reject(name, "is required");
    }

    fn field_path(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    fn find_value(&self, name: &str) -> Option<&'a ast::Value<'a>> {
        let property =
            self.object.properties.iter().find(|property| property.name.as_str() == name);
        property.map(|property| &property.value)
    }

    fn field_value(&mut self, name: &'static str) -> Option<&'a ast::Value<'a>> {
        self.requested.push(name);
        self.find_value(name)
    }

    fn check_unknown(&self) {
        let mut seen: Vec<&str> = Vec::new();
        for property in &self.object.properties {
            let name = property.name.as_str();
            if !self.requested.contains(&name) {
                let message = "is not a known field".to_owned();
                self.mistakes.add(property.range.start, self.field_path(name), message);
            } else if seen.contains(&name) {
                let message = "appears more than once".to_owned();
                self.mistakes.add(property.range.start, self.field_path(name), message);
            }
            seen.push(name);
        }
    }
}
