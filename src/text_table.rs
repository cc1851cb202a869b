//! Text tables with aligned columns.

use std::fmt;

/// A table whose columns are as wide as their widest cell.
pub(crate) struct TextTable<const COLUMNS: usize> {
    rows: Vec<[String; COLUMNS]>,
}

impl<const COLUMNS: usize> TextTable<COLUMNS> {
    /// Creates a table with only a row of headings.
    pub(crate) fn new(headings: [&str; COLUMNS]) -> Self {
        Self {
            rows: vec![headings.map(str::to_owned)],
        }
    }

    /// Appends a row.
    pub(crate) fn add(&mut self, row: [String; COLUMNS]) {
        self.rows.push(row);
    }

    /// Returns whether the table has no row but its headings.
    pub(crate) fn is_empty(&self) -> bool {
        self.rows.len() == 1
    }

    /// Returns the width of a column in characters.
    fn width(&self, column: usize) -> usize {
        let widths = self.rows.iter().map(|row| row[column].chars().count());
        widths.max().unwrap_or_default()
    }
}

impl<const COLUMNS: usize> fmt::Display for TextTable<COLUMNS> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            for (column, text) in row.iter().enumerate() {
                if column + 1 == COLUMNS {
                    writeln!(formatter, "{text}")?;
                } else {
                    let width = self.width(column) + 2;
                    write!(formatter, "{text:width$}")?;
                }
            }
        }
        Ok(())
    }
}
