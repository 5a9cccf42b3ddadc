//! Plain text tables and JSON objects of results.

use serde_json::Value;

/// A plain text table.
#[derive(Clone, Debug, Default)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Makes a table with a head.
    #[must_use]
    pub fn new(head: &[&str]) -> TextTable {
        let head = head.iter().map(|cell| (*cell).to_string()).collect();
        TextTable { rows: vec![head] }
    }

    /// Adds a row.
    pub fn push(&mut self, row: impl IntoIterator<Item = String>) {
        self.rows.push(row.into_iter().collect());
    }

    /// The table, columns aligned to the right.
    #[must_use]
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let mut widths = vec![0; columns];
        for row in &self.rows {
            for (column, cell) in row.iter().enumerate() {
                widths[column] = widths[column].max(cell.chars().count());
            }
        }
        let mut text = String::new();
        for row in &self.rows {
            for (column, cell) in row.iter().enumerate() {
                let gap = if column == 0 { "" } else { "  " };
                text.push_str(&format!("{gap}{cell:>width$}", width = widths[column]));
            }
            text.push('\n');
        }
        text
    }
}

/// What an experiment gives.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Tables and lines for a reader.
    pub text: String,
    /// Figures for a program.
    pub figures: Value,
}
