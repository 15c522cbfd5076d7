//! Labels of targets and expressions over them.
//!
//! An expression is a list of terms joined by commas, all of which must hold:
//! `role = desk, site in (amman, aqaba), !retired, vendor != acme`. The same
//! grammar is used in documents and on the command line.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// Labels of a target, by key.
pub type Labels = BTreeMap<String, String>;

/// One term of an expression.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Term {
    /// The label has one of these values.
    In(String, Vec<String>),
    /// The label is absent or has none of these values.
    NotIn(String, Vec<String>),
    /// The label is present.
    Present(String),
    /// The label is absent.
    Absent(String),
}

impl Term {
    fn matches(&self, labels: &Labels) -> bool {
        match self {
            Term::In(key, values) => labels.get(key).is_some_and(|value| values.contains(value)),
            Term::NotIn(key, values) => {
                !labels.get(key).is_some_and(|value| values.contains(value))
            }
            Term::Present(key) => labels.contains_key(key),
            Term::Absent(key) => !labels.contains_key(key),
        }
    }
}

/// An expression over labels; the empty one matches every target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Expression {
    source: String,
    terms: Vec<Term>,
}

impl Expression {
    /// Parses an expression.
    pub fn parse(source: &str) -> Result<Expression> {
        let terms =
            split_terms(source).into_iter().map(parse_term).collect::<Result<Vec<Term>>>()?;
        Ok(Expression { source: source.to_owned(), terms })
    }

    /// Returns whether every term holds for `labels`.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.terms.iter().all(|term| term.matches(labels))
    }

    /// Returns the terms in source order.
    pub fn terms(&self) -> &[Term] {
        &self.terms
    }

    /// Returns the source text.
    pub fn as_str(&self) -> &str {
        &self.source
    }
}

impl TryFrom<String> for Expression {
    type Error = Error;

    fn try_from(source: String) -> Result<Expression> {
        Expression::parse(&source)
    }
}

impl From<Expression> for String {
    fn from(expression: Expression) -> String {
        expression.source
    }
}

/// Splits at commas outside parentheses.
fn split_terms(source: &str) -> Vec<&str> {
    let mut depth = 0usize;
    let mut start = 0;
    let mut parts = Vec::new();
    for (at, c) in source.char_indices() {
        match c {
            '(' => depth += 1,
            ')' => depth = depth.saturating_sub(1),
            ',' if depth == 0 => {
                parts.push(&source[start..at]);
                start = at + 1;
            }
            _ => {}
        }
    }
    parts.push(&source[start..]);
    if parts.len() == 1 && parts[0].trim().is_empty() {
        return Vec::new();
    }
    parts.into_iter().map(str::trim).collect()
}

fn parse_term(text: &str) -> Result<Term> {
    if let Some(key) = text.strip_prefix('!') {
        return Ok(Term::Absent(parse_word(key, text)?));
    }
    if let Some((key, value)) = text.split_once("!=") {
        return Ok(Term::NotIn(parse_word(key, text)?, vec![parse_word(value, text)?]));
    }
    if let Some((key, value)) = text.split_once('=') {
        let value = value.strip_prefix('=').unwrap_or(value);
        return Ok(Term::In(parse_word(key, text)?, vec![parse_word(value, text)?]));
    }
    if let Some((head, list)) = text.split_once('(') {
        let values = parse_list(list, text)?;
        let words: Vec<&str> = head.split_whitespace().collect();
        return match words.as_slice() {
            [key, "in"] => Ok(Term::In(parse_word(key, text)?, values)),
            [key, "notin"] => Ok(Term::NotIn(parse_word(key, text)?, values)),
            _ => Err(Error::bad_expression(text, "expected `key in (…)` or `key notin (…)`")),
        };
    }
    Ok(Term::Present(parse_word(text, text)?))
}

fn parse_list(list: &str, term: &str) -> Result<Vec<String>> {
    let Some(list) = list.trim().strip_suffix(')') else {
        return Err(Error::bad_expression(term, "unclosed list"));
    };
    list.split(',').map(|word| parse_word(word, term)).collect()
}

fn parse_word(word: &str, term: &str) -> Result<String> {
    let word = word.trim();
    if word.is_empty() {
        return Err(Error::bad_expression(term, "missing name or value"));
    }
    let plain = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');
    match word.chars().find(|c| !plain(*c)) {
        Some(_) => Err(Error::bad_expression(term, "only letters, digits, and -_./ are allowed")),
        None => Ok(word.to_owned()),
    }
}
