//! Incremental parser of server-sent events.

/// The fields of an event as name and value, in order.
pub type Fields = Vec<(String, String)>;

/// Parses a stream in chunks of any size; a chunk may end within a line. An incomplete event at the
/// end of a stream is not returned.
#[derive(Debug, Default)]
pub struct SseReader {
    buffer: Vec<u8>,
    /// Bytes of the buffer without the end of a line.
    scanned: usize,
    fields: Fields,
}

impl SseReader {
    /// Parses a chunk and returns the events that it completes.
    pub fn feed(&mut self, chunk: &[u8]) -> Vec<Fields> {
        self.buffer.extend_from_slice(chunk);
        let mut events = Vec::new();
        let mut start = 0;
        let line_end = |buffer: &[u8], from: usize| {
            buffer[from..].iter().position(|byte| *byte == b'\n').map(|end| from + end)
        };
        while let Some(end) = line_end(&self.buffer, self.scanned.max(start)) {
            let line = &self.buffer[start..end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                if !self.fields.is_empty() {
                    events.push(std::mem::take(&mut self.fields));
                }
            } else if line[0] != b':' {
                self.fields.push(split_field(line));
            }
            start = end + 1;
        }
        self.buffer.drain(..start);
        self.scanned = self.buffer.len();
        events
    }

    /// Returns the bytes of the incomplete event.
    pub fn pending_bytes(&self) -> usize {
        let fields = self.fields.iter().map(|(name, value)| name.len() + value.len());
        self.buffer.len() + fields.sum::<usize>()
    }

    /// Returns whether the stream is between two events, so that nothing is lost if it ends here.
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.is_empty() && self.fields.is_empty()
    }
}

fn split_field(line: &[u8]) -> (String, String) {
    let line = String::from_utf8_lossy(line);
    match line.split_once(':') {
        Some((name, value)) => {
            (name.to_owned(), value.strip_prefix(' ').unwrap_or(value).to_owned())
        }
        None => (line.into_owned(), String::new()),
    }
}
