//! A blocking HTTP/1.1 client that writes raw bytes to a new connection for each request. A test
//! controls what is sent when, can abort in the middle, and needs no async runtime.

use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;

/// Time without a byte after which a read fails. No test depends on it.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// A response that was read to its end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// The HTTP status; zero if none was received.
    pub status: u16,
    /// The body, as text.
    pub body: String,
}

impl Answer {
    /// Parses the JSON object in the body. Returns null if there is none.
    pub fn json(&self) -> Value {
        let bounds = self.body.find('{').zip(self.body.rfind('}'));
        let object = bounds.and_then(|(begin, end)| self.body.get(begin..=end));
        object.and_then(|text| serde_json::from_str(text).ok()).unwrap_or_default()
    }

    /// Returns the code of a failure, or an empty string.
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the outcome of a failure, or an empty string.
    pub fn outcome(&self) -> String {
        self.json()["error"]["outcome"].as_str().unwrap_or_default().to_owned()
    }
}

/// A request.
#[derive(Clone, Copy, Debug)]
pub struct Question<'a> {
    /// `GET` or `POST`.
    pub method: &'a str,
    /// The path.
    pub path: &'a str,
    /// The bearer token.
    pub token: &'a str,
    /// Further headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: &'a [u8],
}

impl Default for Question<'_> {
    fn default() -> Self {
        Self { method: "POST", path: "/", token: "", headers: &[], body: &[] }
    }
}

/// Opens a connection.
///
/// # Errors
///
/// Returns the operating system's error.
pub fn connect(address: SocketAddr) -> Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    Ok(stream)
}

/// Sends a request and returns the connection on which the response can be read.
///
/// # Errors
///
/// Returns the operating system's error.
pub fn send(address: SocketAddr, question: &Question) -> Result<TcpStream> {
    let mut stream = connect(address)?;
    stream.write_all(head(question).as_bytes())?;
    // A server that refuses the request because of its head may close the connection before it has
    // read the body.
    let _ = stream.write_all(question.body);
    Ok(stream)
}

/// Sends a request and reads the response. The status is zero if none was received.
pub fn ask(address: SocketAddr, question: &Question) -> Answer {
    send(address, question).map(read).unwrap_or_default()
}

/// Sends a request and returns the body of the response. It is empty if none was received.
pub fn ask_bytes(address: SocketAddr, question: &Question) -> Vec<u8> {
    let mut bytes = Vec::new();
    if let Ok(mut stream) = send(address, question) {
        let _ = stream.read_to_end(&mut bytes);
    }
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n");
    end.map(|end| bytes.split_off(end + 4)).unwrap_or_default()
}

/// Reads a response until the server closes the connection.
pub fn read(mut stream: TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split_whitespace().nth(1).and_then(|word| word.parse().ok());
    Answer { status: status.unwrap_or_default(), body: body.to_owned() }
}

fn head(question: &Question) -> String {
    let Question { method, path, token, headers, body } = question;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {token}\r\n\
         connection: close\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in *headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head + "\r\n"
}
