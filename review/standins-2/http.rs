//! Blocking HTTP/1.1 for the stand-ins.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// A request or a response, read as a whole.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        for pair in query.split('&') {
            if let Some((key, value)) = pair.split_once('=')
                && key == name
            {
                return Some(unescape(value));
            }
        }
        None
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut found = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%'
            && let Some(hex) = text.get(at + 1..at + 3)
            && let Ok(byte) = u8::from_str_radix(hex, 16)
        {
            found.push(byte);
            at += 3;
        } else {
            found.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&found).into_owned()
}

fn line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut text = String::new();
    if reader.read_line(&mut text)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(text.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads the start line and the headers.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message { start: line(reader)?, ..Message::default() };
    loop {
        let text = line(reader)?;
        if text.is_empty() {
            return Ok(message);
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that the headers announce.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        loop {
            let size = line(reader)?;
            let size = size.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
            let mut piece = vec![0; size];
            reader.read_exact(&mut piece)?;
            message.body.extend_from_slice(&piece);
            line(reader)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)
}

/// Reads a message as a whole.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    read_body(reader, &mut message)?;
    Ok(message)
}

/// Writes a response with a body.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// A caller's connection, which is kept open between requests.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
    pub stream: TcpStream,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream.try_clone()?), stream })
    }

    pub fn send(&mut self, start: &str, headers: &[(&str, String)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("{start} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    pub fn receive(&mut self, by: Instant) -> io::Result<Message> {
        let left = by.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        self.stream.set_read_timeout(Some(left))?;
        read_message(&mut self.reader)
    }
}
