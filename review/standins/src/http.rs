//! HTTP/1.1 messages over blocking sockets.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1).unwrap_or("");
        status.parse().unwrap_or(0)
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(known, _)| *known == name);
        found.map_or(String::new(), |(_, value)| value.replace("%2F", "/"))
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message whose body has a length or comes in chunks.
pub fn read(reader: &mut BufReader<TcpStream>) -> Result<Message> {
    let mut message = Message::default();
    read_line(reader, &mut message.first)?;
    loop {
        let mut line = String::new();
        read_line(reader, &mut line)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
    if message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            let mut line = String::new();
            read_line(reader, &mut line)?;
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| Error::new(ErrorKind::InvalidData, "chunk size"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(message);
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

fn read_line(reader: &mut BufReader<TcpStream>, line: &mut String) -> Result<()> {
    line.clear();
    if reader.read_line(line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    while line.ends_with(['\r', '\n']) {
        line.pop();
    }
    Ok(())
}

/// Writes a response.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> Result<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())
}

/// Sends one request on a connection of its own; an error tells how the connection ended.
pub fn call(
    address: SocketAddr,
    request: &str,
    timeout: Duration,
) -> std::result::Result<Message, String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))
        .map_err(|error| format!("connect: {error}"))?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(timeout));
    stream
        .write_all(request.as_bytes())
        .map_err(|error| format!("write: {error}"))?;
    read(&mut BufReader::new(stream)).map_err(|error| format!("read: {error}"))
}
