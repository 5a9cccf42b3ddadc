//! Text in columns.

use std::fmt;

/// Space between two columns.
const GAP: usize = 2;

/// Rows of text under a heading, aligned on the left.
#[derive(Clone, Debug)]
pub struct TextTable<const WIDTH: usize> {
    rows: Vec<[String; WIDTH]>,
}

impl<const WIDTH: usize> TextTable<WIDTH> {
    /// Creates a table with only its heading.
    #[must_use]
    pub fn new(heading: [&str; WIDTH]) -> TextTable<WIDTH> {
        TextTable {
            rows: vec![heading.map(String::from)],
        }
    }

    /// Adds a row.
    pub fn push(&mut self, row: [String; WIDTH]) {
        self.rows.push(row);
    }

    fn widths(&self) -> [usize; WIDTH] {
        let mut widths = [0; WIDTH];
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = cell.chars().count().max(*width);
            }
        }
        widths
    }
}

impl<const WIDTH: usize> fmt::Display for TextTable<WIDTH> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let mut line = String::new();
            for (width, cell) in widths.iter().zip(row) {
                let width = width + GAP;
                line.push_str(&format!("{cell:<width$}"));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
