//! A small HTTP/1.1 server and client over the standard library.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        find(&self.query, name).unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'p>(pairs: &'p [(String, String)], name: &str) -> Option<&'p str> {
    let found = pairs.iter().find(|(other, _)| other == name);
    found.map(|(_, value)| value.as_str())
}

/// An answer; `None` in place of it closes the connection without one.
pub struct Answer {
    pub status: u16,
    pub body: String,
}

pub fn answer(status: u16, body: impl ToString) -> Option<Answer> {
    let body = body.to_string();
    Some(Answer { status, body })
}

/// Serves every connection of a listener on a thread of its own.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(Request) -> Option<Answer> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    handler: &(dyn Fn(Request) -> Option<Answer> + Send + Sync),
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some((first, headers, body)) = read_message(&mut reader)? {
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter(|pair| !pair.is_empty());
        let pairs = pairs.map(|pair| pair.split_once('=').unwrap_or((pair, "")));
        let request = Request {
            method,
            path: path.to_owned(),
            query: pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect(),
            headers,
            body,
        };
        let Some(answer) = handler(request) else {
            return Ok(());
        };
        let text = format!(
            "HTTP/1.1 {} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{}",
            answer.status,
            answer.body.len(),
            answer.body
        );
        writer.write_all(text.as_bytes())?;
    }
    Ok(())
}

type Message = (String, Vec<(String, String)>, String);

fn read_message(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let length = find(&headers, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    let body = String::from_utf8(body).unwrap_or_default();
    Ok(Some((first.trim_end().to_owned(), headers, body)))
}

/// Makes one call over a connection of its own. Returns the status and the body, or `None` without an answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "host") {
        text.push_str(&format!("host: {address}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes()).ok()?;
    let (first, _, body) = read_message(&mut BufReader::new(stream)).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, body))
}
