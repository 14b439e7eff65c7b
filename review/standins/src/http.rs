//! A small HTTP/1.1 reader and writer for the stand-ins.

use std::{
    io::{self, BufRead, Write},
    net::TcpStream,
};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line: request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Length of the body.
    pub fn length(&self) -> usize {
        self.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Second word of the first line: path of a request, status of a response.
    pub fn second(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message; `None` if the connection ends before its first byte, an error if it ends within.
pub fn read(input: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(input)? else { return Ok(None) };
    message.body = vec![0; message.length()];
    input.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Reads the head of a message and leaves its body.
pub fn read_head(input: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut start = String::new();
    if input.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut message = Message { start: start.trim_end().to_owned(), ..Message::default() };
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    Ok(Some(message))
}

/// Writes a message; adds the length of its body.
pub fn write(
    output: &mut impl Write,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("{start}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    output.write_all(&bytes)
}

/// State of a connection without consuming bytes: whether the other side has closed it.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let closed = match stream.peek(&mut byte) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).is_err() || closed
}
