//! Positions of fields in a document's text, so that a fault can name its line.

use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A parsed text with the byte ranges of its values.
#[derive(Debug)]
pub(crate) struct SourceMap<'a> {
    table: Option<Spanned<DeTable<'a>>>,
    text: &'a str,
}

impl<'a> SourceMap<'a> {
    pub(crate) fn parse(text: &'a str) -> Self {
        Self { table: DeTable::parse(text).ok(), text }
    }

    /// Returns the line of `list[index].field`, or of the closest enclosing value that exists; 1 if
    /// `list` is absent, e.g. because the document uses its former name. `index` is ignored if
    /// `list` is a table.
    pub(crate) fn line(&self, list: &str, index: usize, field: &str) -> usize {
        let Some(table) = &self.table else { return 1 };
        let Some(value) = table.get_ref().get(list) else { return 1 };
        let offset = match value.get_ref() {
            DeValue::Array(items) => items.get(index).map_or(value.span().start, |item| {
                field_start(item.get_ref(), field).unwrap_or(item.span().start)
            }),
            other => field_start(other, field).unwrap_or(value.span().start),
        };
        Self::line_at(self.text, offset)
    }

    pub(crate) fn line_at(text: &str, offset: usize) -> usize {
        let before = text.as_bytes().iter().take(offset);
        before.filter(|byte| **byte == b'\n').count() + 1
    }
}

fn field_start(value: &DeValue<'_>, field: &str) -> Option<usize> {
    let DeValue::Table(table) = value else { return None };
    table.get(field).map(|found| found.span().start)
}
