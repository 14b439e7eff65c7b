//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// A head: its first line and its headers, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of the header `name`, given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Returns a part of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    /// Returns the declared length of the body.
    pub fn length(&self) -> Option<usize> {
        self.header("content-length")?.trim().parse().ok()
    }

    /// Returns whether the body is sent in chunks.
    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }
}

/// Reads a head; `None` at the end of the stream before its first byte.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match head.first_line.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end();
        if head.first_line.is_empty() {
            head.first_line = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body of declared length or in chunks; empty if the head announces none.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if !head.is_chunked() {
        body.resize(head.length().unwrap_or(0), 0);
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let begin = body.len();
        body.resize(begin + size, 0);
        reader.read_exact(&mut body[begin..])?;
        let mut end = String::new();
        reader.read_line(&mut end)?;
        if size == 0 {
            return Ok(body);
        }
    }
}
