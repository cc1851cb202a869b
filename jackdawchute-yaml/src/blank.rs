//! Blanks one field of a document, so that the rest keeps its line numbers.

/// Blanks the field that begins on `line`, counted from 1, and the more deeply indented lines after
/// it.
///
/// Returns `None` if there is no such line or no field on it.
pub(crate) fn without_field_at(text: &str, line: usize) -> Option<String> {
    let index = line.checked_sub(1)?;
    let lines: Vec<&str> = text.lines().collect();
    let first = lines.get(index)?;
    let markers = list_markers(first);
    if first[markers.len()..].trim().is_empty() {
        return None;
    }
    let end = index + 1 + deeper_lines(&lines[index + 1..], markers.len());
    let mut blanked = String::with_capacity(text.len());
    for (number, content) in lines.iter().enumerate() {
        if number == index {
            blanked.push_str(markers.trim_end());
        } else if number < index || number >= end {
            blanked.push_str(content);
        }
        blanked.push('\n');
    }
    Some(blanked)
}

/// Returns the indentation and the `- ` list markers before the field.
fn list_markers(line: &str) -> &str {
    let field = line.trim_start_matches([' ', '-']);
    let markers = &line[..line.len() - field.len()];
    if markers.ends_with('-') && !field.is_empty() {
        // The minus of a scalar such as `-5` is not a list marker.
        return markers.trim_end_matches('-');
    }
    markers
}

/// Counts the leading lines that are empty or indented more deeply.
fn deeper_lines(lines: &[&str], indentation: usize) -> usize {
    lines
        .iter()
        .take_while(|line| line.trim().is_empty() || indentation_of(line) > indentation)
        .count()
}

fn indentation_of(line: &str) -> usize {
    line.len() - line.trim_start_matches(' ').len()
}
