//! A small HTTP/1.1 server and client.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

pub struct Request {
    /// The path with its query.
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let (_, query) = self.path.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.into_iter().find(|(it, _)| *it == name)?;
        Some(decode(value))
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'+' => bytes.push(b' '),
            b'%' => {
                let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// What a server does with a request; no answer leaves the connection open and silent for good.
pub enum Reply {
    Answer(u16, String),
    Silence,
}

pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// The open connections of a server.
#[derive(Clone, Default)]
struct Connections(Arc<Mutex<Vec<(Arc<AtomicBool>, TcpStream)>>>);

/// A server that can fall silent, end or come back at the same address.
pub struct Server {
    pub address: SocketAddr,
    connections: Connections,
    listening: Arc<AtomicBool>,
    handler: Handler,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let server = Self {
            address: listener.local_addr()?,
            connections: Connections::default(),
            listening: Arc::new(AtomicBool::new(true)),
            handler,
        };
        server.accept(listener);
        Ok(server)
    }

    fn accept(&self, listener: TcpListener) {
        let (connections, handler) = (self.connections.clone(), self.handler.clone());
        let listening = self.listening.clone();
        listening.store(true, Ordering::SeqCst);
        let _ = listener.set_nonblocking(true);
        thread::spawn(move || {
            while listening.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let silent = Arc::new(AtomicBool::new(false));
                if let (Ok(copy), Ok(mut open)) = (stream.try_clone(), connections.0.lock()) {
                    open.push((silent.clone(), copy));
                }
                let (handler, connections) = (handler.clone(), connections.clone());
                thread::spawn(move || {
                    serve(stream, &silent, &handler);
                    if let Ok(mut open) = connections.0.lock() {
                        open.retain(|(other, _)| !Arc::ptr_eq(other, &silent));
                    }
                });
            }
        });
    }

    /// Leaves all open connections open, and answers nothing on them any more.
    pub fn silence_open(&self) -> usize {
        let open = self.connections.0.lock().map(|open| open.len());
        if let Ok(open) = self.connections.0.lock() {
            for (silent, _) in open.iter() {
                silent.store(true, Ordering::SeqCst);
            }
        }
        open.unwrap_or(0)
    }

    /// Refuses new connections.
    pub fn refuse(&self) {
        self.listening.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
    }

    /// Resets all open connections.
    pub fn reset_open(&self) {
        if let Ok(mut open) = self.connections.0.lock() {
            for (silent, stream) in open.drain(..) {
                silent.store(true, Ordering::SeqCst);
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        }
    }

    /// Accepts new connections again.
    pub fn listen_again(&self) -> std::io::Result<()> {
        let mut tries = 0;
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(cause) if tries > 200 => return Err(cause),
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
            tries += 1;
        };
        self.accept(listener);
        Ok(())
    }
}

fn serve(stream: TcpStream, silent: &AtomicBool, handler: &Handler) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        if silent.load(Ordering::SeqCst) {
            return hold_open(&mut reader);
        }
        let reply = handler(request);
        if silent.load(Ordering::SeqCst) {
            return hold_open(&mut reader);
        }
        match reply {
            Reply::Silence => return hold_open(&mut reader),
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                let answer = [head.as_bytes(), body.as_bytes()].concat();
                if writer.write_all(&answer).is_err() {
                    return;
                }
            }
        }
    }
}

/// Reads until the other side closes the connection, and answers nothing.
fn hold_open(reader: &mut BufReader<TcpStream>) {
    let mut buffer = [0; 4096];
    while matches!(reader.read(&mut buffer), Ok(count) if count > 0) {}
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader
        .read_line(&mut line)
        .ok()
        .filter(|count| *count > 0)?;
    let mut words = line.split_whitespace();
    let path = words.nth(1)?.to_owned();
    let (headers, body) = read_rest(reader)?;
    Some(Request {
        path,
        headers,
        body,
    })
}

fn read_rest(reader: &mut BufReader<TcpStream>) -> Option<(Vec<(String, String)>, Vec<u8>)> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader
            .read_line(&mut line)
            .ok()
            .filter(|count| *count > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    let length = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((headers, body))
}

/// Sends a request on a new connection; `None` if no whole answer came in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        head.push_str("Content-Type: application/json\r\n");
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    stream
        .write_all(&[head.as_bytes(), body.as_bytes()].concat())
        .ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader
        .read_line(&mut line)
        .ok()
        .filter(|count| *count > 0)?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let (_, body) = read_rest(&mut reader)?;
    Some((status, body))
}
