//! Problems of a document.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A problem of a document, with its line and field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The line, counted from 1; `None` if it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub line: Option<usize>,
    /// The path of the field, such as `timing.lease_ms`; empty for the whole document.
    pub field: String,
    /// A description of the problem.
    pub problem: String,
}

impl Problem {
    /// Creates a problem of a field whose line is not known.
    ///
    /// ```
    /// use jackdawchute_yaml::Problem;
    ///
    /// let problem = Problem::new("timing.lease_ms", "must be above 0");
    /// assert_eq!(problem.to_string(), "field `timing.lease_ms`: must be above 0");
    /// ```
    pub fn new(field: impl Into<String>, problem: impl Into<String>) -> Self {
        Self {
            line: None,
            field: field.into(),
            problem: problem.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(formatter, "line {line}: ")?;
        }
        if !self.field.is_empty() {
            write!(formatter, "field `{}`: ", self.field)?;
        }
        formatter.write_str(&self.problem)
    }
}

/// All problems of a document; displays one per line.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            problem.fmt(formatter)?;
        }
        Ok(())
    }
}
