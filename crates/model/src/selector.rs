//! Selectors: expressions over labels, in the syntax of Kubernetes label selectors.
//!
//! `app=drafts,data_centre in (north,south),!canary` is a conjunction: every term must hold. An
//! empty selector matches everything. The text is kept beside the parsed terms, so that a selector
//! is shown as the operator wrote it.

use crate::Labels;
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use winnow::ascii::multispace0;
use winnow::combinator::{alt, delimited, eof, opt, preceded, separated, terminated};
use winnow::token::take_while;
use winnow::{ModalResult, Parser};

/// Maximum length of a selector.
const SELECTOR_MAX_BYTES: usize = 1024;

/// A parsed selector.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Selector {
    terms: Vec<Term>,
    text: String,
}

/// One condition on the labels.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Term {
    Absent(String),
    Equal(String, String),
    NotEqual(String, String),
    NotOneOf(String, Vec<String>),
    OneOf(String, Vec<String>),
    Present(String),
}

/// A selector could not be read: '{text}' at byte {offset_bytes}; write e.g. `app=citation,salle in (a,b),!canary`
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct SelectorError {
    /// The refused text.
    pub text: String,
    /// Position at which parsing stopped.
    pub offset_bytes: usize,
}

impl std::error::Error for SelectorError {}

impl Selector {
    /// Returns whether `labels` satisfy every term.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.terms.iter().all(|term| term.matches(labels))
    }

    /// Returns the selector as it was written.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl Term {
    fn matches(&self, labels: &Labels) -> bool {
        match self {
            Self::Absent(key) => labels.get(key).is_none(),
            Self::Equal(key, value) => labels.get(key) == Some(value),
            Self::NotEqual(key, value) => labels.get(key) != Some(value),
            Self::NotOneOf(key, values) => !one_of(labels.get(key), values),
            Self::OneOf(key, values) => one_of(labels.get(key), values),
            Self::Present(key) => labels.get(key).is_some(),
        }
    }
}

fn one_of(found: Option<&str>, values: &[String]) -> bool {
    found.is_some_and(|found| values.iter().any(|value| value == found))
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl FromStr for Selector {
    type Err = SelectorError;

    fn from_str(text: &str) -> Result<Self, SelectorError> {
        let fail = |offset_bytes| SelectorError { text: text.to_owned(), offset_bytes };
        if text.len() > SELECTOR_MAX_BYTES {
            return Err(fail(SELECTOR_MAX_BYTES));
        }
        let terms = terms.parse(text).map_err(|error| fail(error.offset()))?;
        Ok(Self { terms, text: text.to_owned() })
    }
}

impl TryFrom<String> for Selector {
    type Error = SelectorError;

    fn try_from(text: String) -> Result<Self, SelectorError> {
        text.parse()
    }
}

impl From<Selector> for String {
    fn from(selector: Selector) -> Self {
        selector.text
    }
}

fn terms(input: &mut &str) -> ModalResult<Vec<Term>> {
    let some = separated(1.., term, ',');
    let none = (multispace0, eof).map(|_| Vec::new());
    alt((none, some)).parse_next(input)
}

fn term(input: &mut &str) -> ModalResult<Term> {
    delimited(multispace0, alt((absent, keyed)), multispace0).parse_next(input)
}

fn absent(input: &mut &str) -> ModalResult<Term> {
    preceded(('!', multispace0), word).map(Term::Absent).parse_next(input)
}

fn keyed(input: &mut &str) -> ModalResult<Term> {
    let key = terminated(word, multispace0).parse_next(input)?;
    let make_set = |values: Option<Vec<String>>, wrap: fn(String, Vec<String>) -> Term| {
        values.map(|values| wrap(key.clone(), values))
    };
    if let Some(value) = opt(preceded(("!=", multispace0), word)).parse_next(input)? {
        return Ok(Term::NotEqual(key, value));
    }
    if let Some(value) = opt(preceded((alt(("==", "=")), multispace0), word)).parse_next(input)? {
        return Ok(Term::Equal(key, value));
    }
    let values = opt(preceded(("in", multispace0), set)).parse_next(input)?;
    if let Some(term) = make_set(values, Term::OneOf) {
        return Ok(term);
    }
    let values = opt(preceded(("notin", multispace0), set)).parse_next(input)?;
    if let Some(term) = make_set(values, Term::NotOneOf) {
        return Ok(term);
    }
    Ok(Term::Present(key))
}

fn set(input: &mut &str) -> ModalResult<Vec<String>> {
    let item = delimited(multispace0, word, multispace0);
    delimited('(', separated(1.., item, ','), ')').parse_next(input)
}

fn word(input: &mut &str) -> ModalResult<String> {
    take_while(1.., |c: char| c.is_ascii_alphanumeric() || "-_./".contains(c))
        .map(str::to_owned)
        .parse_next(input)
}
