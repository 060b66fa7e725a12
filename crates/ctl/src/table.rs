//! Tables of aligned columns.

use std::io::{self, Write};

const COLUMN_GAP: &str = "  ";

/// How the cells of a column are aligned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Align {
    Left,
    Right,
}

/// A table with a header line.
pub(crate) struct Table {
    columns: Vec<(&'static str, Align)>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub(crate) fn new(columns: &[(&'static str, Align)]) -> Self {
        Self { columns: columns.to_vec(), rows: Vec::new() }
    }

    /// Adds a row. Missing cells are empty.
    pub(crate) fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Writes the header and the rows, without trailing spaces.
    pub(crate) fn write(&self, out: &mut dyn Write) -> io::Result<()> {
        let header: Vec<_> = self.columns.iter().map(|(title, _)| (*title).to_owned()).collect();
        let lines: Vec<&Vec<String>> = std::iter::once(&header).chain(&self.rows).collect();
        let widths: Vec<_> = (0..self.columns.len()).map(|column| width(&lines, column)).collect();
        for cells in lines {
            writeln!(out, "{}", self.line(cells, &widths).trim_end())?;
        }
        Ok(())
    }

    fn line(&self, cells: &[String], widths: &[usize]) -> String {
        let mut line = String::new();
        for (column, (cell, &width)) in cells.iter().zip(widths).enumerate() {
            if column > 0 {
                line.push_str(COLUMN_GAP);
            }
            match self.columns[column].1 {
                Align::Left => line.push_str(&format!("{cell:<width$}")),
                Align::Right => line.push_str(&format!("{cell:>width$}")),
            }
        }
        line
    }
}

fn width(lines: &[&Vec<String>], column: usize) -> usize {
    let cells = lines.iter().filter_map(|cells| cells.get(column));
    cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
}
