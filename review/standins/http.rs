//! A small HTTP/1.1 server and client with a thread for each connection.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request or the head and body of an answer.
#[derive(Debug, Default)]
pub struct Message {
    /// Method and path of a request, version and status of an answer.
    pub line: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(held, _)| held.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.line.get(1).map_or("", |target| target.split('?').next().unwrap_or(""))
    }

    /// Returns a value of the query, percent-decoded.
    pub fn query(&self, name: &str) -> String {
        let target = self.line.get(1).map_or("", String::as_str);
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.filter(|(held, _)| *held == name).map(|(_, value)| decoded(value)).next();
        found.unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.line.get(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = bytes.get(at + 1..at + 3).and_then(|digits| std::str::from_utf8(digits).ok());
        let code = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                plain.push(code);
                at += 3;
            }
            (byte, _) => {
                plain.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

/// Reads the first line and the headers.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let first = read_line(reader)?;
    let mut message = Message::default();
    message.line = first.split(' ').map(str::to_owned).collect();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(message);
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk of a body in chunks; an empty one is the last.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let size = read_line(reader)?;
    let size = size.split(';').next().unwrap_or("").trim();
    let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    read_line(reader)?;
    Ok(chunk)
}

/// Reads a message with its whole body.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(message);
            }
            message.body.extend(chunk);
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

/// Writes an answer with a fixed body.
pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// A listening server.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    is_down: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Closes the listener and all connections, as the end of a process does.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts connections.
        let _closed_at_once = TcpStream::connect(self.address);
        if let Ok(mut streams) = self.streams.lock() {
            for stream in streams.drain(..) {
                let _already_closed = stream.shutdown(Shutdown::Both);
            }
        }
    }

    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }
}

/// Serves requests on an address until the process ends or the server crashes.
pub fn serve<H>(address: SocketAddr, handle: H) -> io::Result<Server>
where
    H: Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let server = Server { address, is_down: Arc::default(), streams: Arc::default() };
    let handle = Arc::new(handle);
    let accepting = server.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if accepting.is_down() {
                return;
            }
            if let (Ok(mut streams), Ok(clone)) = (accepting.streams.lock(), stream.try_clone()) {
                streams.push(clone);
            }
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || {
                let _nodelay = stream.set_nodelay(true);
                let Ok(clone) = stream.try_clone() else { return };
                let (mut reader, mut writer) = (BufReader::new(clone), stream);
                while let Ok(request) = read_message(&mut reader) {
                    if handle(&request, &mut writer).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(server)
}

/// Opens a connection and sends a request on it.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<BufReader<TcpStream>> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)?;
    Ok(BufReader::new(stream))
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    read_message(&mut send(address, method, path, headers, body, timeout)?)
}
