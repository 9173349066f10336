//! HTTP written by hand on a connection of its own, blocking, so that a test decides what is sent
//! when, may break off in the middle, and needs no runtime.

use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;

/// After this long without a byte the reader gives up; no test depends on it.
const PATIENCE: Duration = Duration::from_secs(60);

/// An answer, read to its end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// The HTTP status; zero if none came.
    pub status: u16,
    /// The body, as text.
    pub body: String,
}

impl Answer {
    /// Reads the object that the body holds; null if it holds none.
    pub fn json(&self) -> Value {
        let bounds = self.body.find('{').zip(self.body.rfind('}'));
        let object = bounds.and_then(|(begin, end)| self.body.get(begin..=end));
        object.and_then(|text| serde_json::from_str(text).ok()).unwrap_or_default()
    }

    /// Gives the code of a failure.
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    /// Gives the outcome that a failure names.
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
    /// The token presented.
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
/// What the operating system says.
pub fn connect(address: SocketAddr) -> Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    Ok(stream)
}

/// Sends a request and gives the connection on which its answer comes.
///
/// # Errors
///
/// What the operating system says.
pub fn send(address: SocketAddr, question: &Question) -> Result<TcpStream> {
    let mut stream = connect(address)?;
    stream.write_all(head(question).as_bytes())?;
    // A server that has refused the request by its head may close before the body is read.
    let _ = stream.write_all(question.body);
    Ok(stream)
}

/// Sends a request and reads its answer; the status is zero if none came.
pub fn ask(address: SocketAddr, question: &Question) -> Answer {
    send(address, question).map(read).unwrap_or_default()
}

/// Sends a request and gives the body of its answer; it is empty if none came.
pub fn ask_bytes(address: SocketAddr, question: &Question) -> Vec<u8> {
    let mut bytes = Vec::new();
    if let Ok(mut stream) = send(address, question) {
        let _ = stream.read_to_end(&mut bytes);
    }
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n");
    end.map(|end| bytes.split_off(end + 4)).unwrap_or_default()
}

/// Reads an answer until its connection ends.
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
