//! Plain-text tables.

use serde_json::Value;

/// Prints rows below a heading line, each column as wide as its widest cell.
pub(crate) fn print(heading: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(String::len);
        cells.chain([heading[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..heading.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        println!("{}", padded.collect::<Vec<_>>().join("  ").trim_end());
    };
    line(heading.to_vec());
    for row in rows {
        line(row.iter().map(String::as_str).collect());
    }
}

/// Converts a list of JSON objects to rows with the given fields.
pub(crate) fn rows(list: &Value, fields: &[&str]) -> Vec<Vec<String>> {
    let items = list.as_array().map_or(&[][..], Vec::as_slice);
    items.iter().map(|item| fields.iter().map(|field| cell(&item[*field])).collect()).collect()
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
