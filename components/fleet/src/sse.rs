//! Reads a stream of server-sent events piece by piece.

/// One event: its lines as name and value, in order.
pub type Fields = Vec<(String, String)>;

/// Takes pieces of a stream and gives whole events. A piece may end anywhere, also in the middle
/// of a line; what a stream that breaks off leaves unfinished is no event.
#[derive(Debug, Default)]
pub struct SseReader {
    rest: Vec<u8>,
    fields: Fields,
}

impl SseReader {
    /// Takes a piece and gives the events that it completes.
    pub fn feed(&mut self, piece: &[u8]) -> Vec<Fields> {
        self.rest.extend_from_slice(piece);
        let mut events = Vec::new();
        let mut begin = 0;
        while let Some(length) = self.rest[begin..].iter().position(|byte| *byte == b'\n') {
            let line = &self.rest[begin..begin + length];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                if !self.fields.is_empty() {
                    events.push(std::mem::take(&mut self.fields));
                }
            } else if line[0] != b':' {
                self.fields.push(split(line));
            }
            begin += length + 1;
        }
        self.rest.drain(..begin);
        events
    }

    /// Tells whether the stream stands between two events, so that its end loses nothing.
    pub fn is_at_boundary(&self) -> bool {
        self.rest.is_empty() && self.fields.is_empty()
    }
}

fn split(line: &[u8]) -> (String, String) {
    let line = String::from_utf8_lossy(line);
    match line.split_once(':') {
        Some((name, value)) => {
            (name.to_owned(), value.strip_prefix(' ').unwrap_or(value).to_owned())
        }
        None => (line.into_owned(), String::new()),
    }
}
