//! Finds the line of a field in YAML text, for errors found after reading.

/// Finds the line of `field` (`control.replicas.1.address`) at or after line `from`, both counted
/// from one. Gives the line of the nearest holder that is written on a line of its own.
pub fn line(text: &str, from: usize, field: &str) -> Option<usize> {
    let lines: Vec<&str> = text.lines().collect();
    let mut next = from.saturating_sub(1);
    let mut indent = None;
    let mut found = None;
    for segment in field.split('.') {
        let place = match segment.parse::<usize>() {
            Ok(index) => item(&lines, next, indent, index),
            Err(_) => key(&lines, next, indent, segment),
        };
        let Some((at, column)) = place else { break };
        found = Some(at + 1);
        // An item's first field stands on the item's own line.
        next = if segment.parse::<usize>().is_ok() { at } else { at + 1 };
        indent = Some(column);
    }
    found
}

fn key(lines: &[&str], from: usize, holder: Option<usize>, name: &str) -> Option<(usize, usize)> {
    for (at, line) in lines.iter().enumerate().skip(from) {
        if line.starts_with("---") && at > from {
            return None;
        }
        let bare = line.trim_start_matches([' ', '-']);
        let column = line.len() - bare.len();
        if bare.is_empty() || bare.starts_with('#') {
            continue;
        }
        if holder.is_some_and(|holder| {
            column < holder || (column == holder && !line.trim_start().starts_with('-'))
        }) {
            return None;
        }
        let rest = bare.strip_prefix(name);
        if rest.is_some_and(|rest| rest.trim_start().starts_with(':')) {
            return Some((at, column));
        }
    }
    None
}

fn item(
    lines: &[&str],
    from: usize,
    holder: Option<usize>,
    index: usize,
) -> Option<(usize, usize)> {
    let mut left = index;
    let mut column = None;
    for (at, line) in lines.iter().enumerate().skip(from) {
        let bare = line.trim_start();
        let indent = line.len() - bare.len();
        if !bare.starts_with("- ") || column.is_some_and(|c| indent != c) {
            continue;
        }
        if holder.is_some_and(|holder| indent < holder) {
            return None;
        }
        column = Some(indent);
        if left == 0 {
            return Some((at, indent + 1));
        }
        left -= 1;
    }
    None
}
