//! Takes one field out of a document and keeps the line numbers of the rest.

/// Blanks the field that begins on `line`, counted from 1, with the deeper lines under it.
///
/// Gives nothing if there is no such line or nothing left on it to take out.
pub(crate) fn without_field_at(text: &str, line: usize) -> Option<String> {
    let index = line.checked_sub(1)?;
    let lines: Vec<&str> = text.lines().collect();
    let first = lines.get(index)?;
    let kept = list_marks(first);
    if first[kept.len()..].trim().is_empty() {
        return None;
    }
    let end = index + 1 + deeper_lines(&lines[index + 1..], kept.len());
    let mut rest = String::with_capacity(text.len());
    for (number, content) in lines.iter().enumerate() {
        if number == index {
            rest.push_str(kept.trim_end());
        } else if number < index || number >= end {
            rest.push_str(content);
        }
        rest.push('\n');
    }
    Some(rest)
}

/// The indentation and the `- ` marks before the field.
fn list_marks(line: &str) -> &str {
    let field = line.trim_start_matches([' ', '-']);
    let marks = &line[..line.len() - field.len()];
    if marks.ends_with('-') && !field.is_empty() {
        // A scalar such as `-5` begins with a minus that is no list mark.
        return marks.trim_end_matches('-');
    }
    marks
}

fn deeper_lines(lines: &[&str], indentation: usize) -> usize {
    lines
        .iter()
        .take_while(|line| line.trim().is_empty() || indentation_of(line) > indentation)
        .count()
}

fn indentation_of(line: &str) -> usize {
    line.len() - line.trim_start_matches(' ').len()
}
