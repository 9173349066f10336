//! Locates fields in YAML text, for errors that are found after parsing.

/// Returns the line of `field` (such as `control.replicas.1.address`) at or after line `from`.
/// Lines are counted from one. If the field does not have its own line, the line of the innermost
/// parent that has one is returned.
pub fn line(text: &str, from: usize, field: &str) -> Option<usize> {
    let lines: Vec<&str> = text.lines().collect();
    let mut next = from.saturating_sub(1);
    let mut indent = None;
    let mut found = None;
    for segment in field.split('.') {
        let position = match segment.parse::<usize>() {
            Ok(index) => find_item(&lines, next, indent, index),
            Err(_) => find_key(&lines, next, indent, segment),
        };
        let Some((at, column)) = position else { break };
        found = Some(at + 1);
        // The first field of a list item is on the same line as the item.
        next = if segment.parse::<usize>().is_ok() { at } else { at + 1 };
        indent = Some(column);
    }
    found
}

fn find_key(
    lines: &[&str],
    from: usize,
    parent: Option<usize>,
    name: &str,
) -> Option<(usize, usize)> {
    for (at, line) in lines.iter().enumerate().skip(from) {
        if line.starts_with("---") && at > from {
            return None;
        }
        let content = line.trim_start_matches([' ', '-']);
        let column = line.len() - content.len();
        if content.is_empty() || content.starts_with('#') {
            continue;
        }
        if parent.is_some_and(|parent| {
            column < parent || (column == parent && !line.trim_start().starts_with('-'))
        }) {
            return None;
        }
        let rest = content.strip_prefix(name);
        if rest.is_some_and(|rest| rest.trim_start().starts_with(':')) {
            return Some((at, column));
        }
    }
    None
}

fn find_item(
    lines: &[&str],
    from: usize,
    parent: Option<usize>,
    index: usize,
) -> Option<(usize, usize)> {
    let mut remaining = index;
    let mut column = None;
    for (at, line) in lines.iter().enumerate().skip(from) {
        let content = line.trim_start();
        let indent = line.len() - content.len();
        if !content.starts_with("- ") || column.is_some_and(|c| indent != c) {
            continue;
        }
        if parent.is_some_and(|parent| indent < parent) {
            return None;
        }
        column = Some(indent);
        if remaining == 0 {
            return Some((at, indent + 1));
        }
        remaining -= 1;
    }
    None
}
