//! The platform: its store of rows, and the call that designates the member that takes over.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::json::Json;
use crate::json::base64;
use crate::json::from_base64;
use crate::json::quoted;
use crate::note;
use crate::record::now_ms;

/// Time that the store takes for a read and for a transaction.
const READ_TIME: Duration = Duration::from_millis(4);
const WRITE_TIME: Duration = Duration::from_millis(12);

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (String, u64)>,
    version: u64,
}

/// The platform's store.
#[derive(Clone, Default)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
}

/// A request as it was read, with its headers in lower case.
pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    fn field(&self, name: &str) -> String {
        let prefix = format!("{name}=");
        let found = self.query.split('&').find_map(|pair| pair.strip_prefix(&prefix));
        decoded(found.unwrap_or_default())
    }
}

fn decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let code = (*first == b'%').then(|| rest.get(1..3)).flatten();
        let code = code.and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &rest[3..];
            }
            None => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let target = line.split(' ').nth(1)?.to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_lowercase(), value.trim().to_owned()));
    }
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let mut request =
        Request { path: path.to_owned(), query: query.to_owned(), headers, body: String::new() };
    let length: usize = request.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    request.body = String::from_utf8(body).ok()?;
    Some(request)
}

fn serve_connection<Answer>(stream: TcpStream, answer: &Answer)
where
    Answer: Fn(&Request) -> (u16, String),
{
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let (status, body) = answer(&request);
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all(format!("{head}{body}").as_bytes()).is_err() {
            return;
        }
    }
}

impl Store {
    /// Writes a row as the operator or a member does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().expect("not poisoned");
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(key, (base64(value.as_bytes()), version));
    }

    pub fn delete(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().expect("not poisoned");
        rows.version += 1;
        rows.rows.remove(&(table.to_owned(), String::new(), key.to_owned()));
    }

    /// Returns the values of the system's rows whose key starts with a text.
    pub fn values(&self, prefix: &str) -> Vec<String> {
        let rows = self.rows.lock().expect("not poisoned");
        let found = rows.rows.iter().filter(|((_, _, key), _)| key.starts_with(prefix));
        let texts = found.map(|(_, (value, _))| from_base64(value));
        texts.map(|value| String::from_utf8_lossy(&value).into_owned()).collect()
    }

    pub fn serve(&self, listener: TcpListener) {
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || serve_connection(stream, &|request| store.answer(request)));
            }
        });
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        match request.path.as_str() {
            "/-/rows-tx" => {
                thread::sleep(WRITE_TIME);
                self.transact(&request.body)
            }
            "/-/rows-get" | "/-/rows-feed" => {
                thread::sleep(READ_TIME);
                self.read(request, request.path.ends_with("feed"))
            }
            "/-/rows-parts" => {
                thread::sleep(READ_TIME);
                let rows = self.rows.lock().expect("not poisoned");
                let table = request.field("table");
                let mut parts: Vec<String> = rows
                    .rows
                    .keys()
                    .filter(|key| key.0 == table)
                    .map(|key| quoted(&key.1))
                    .collect();
                parts.dedup();
                (200, format!("{{\"parts\":[{}],\"hasMore\":false}}", parts.join(",")))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let key_of = |row: &Json| -> Key {
            let text = |name: &str| row.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut rows = self.rows.lock().expect("not poisoned");
        let mut is_met = true;
        let mut present = Vec::new();
        for row in call.get("expect").list() {
            let key = key_of(row);
            let known = rows.rows.get(&key);
            is_met &= known.map_or(0, |(_, version)| *version) == row.get("schemaVersion").number();
            present.extend(known.map(|(value, version)| row_text(&key, value, *version)));
        }
        if !is_met {
            let tail = tail(&rows);
            return (412, format!("{{\"rows\":[{}],{tail}}}", present.join(",")));
        }
        rows.version += 1;
        let version = rows.version;
        for row in call.get("upsertRows").list() {
            let value = row.get("value").text().to_owned();
            rows.rows.insert(key_of(row), (value, version));
        }
        for row in call.get("deleteKeys").list() {
            rows.rows.remove(&key_of(row));
        }
        (200, format!("{{{}}}", tail(&rows)))
    }

    fn read(&self, request: &Request, is_feed: bool) -> (u16, String) {
        let (table, part, from) =
            (request.field("table"), request.field("part"), request.field("from"));
        let after: u64 = request.field("after").parse().unwrap_or(0);
        let rows = self.rows.lock().expect("not poisoned");
        let is_wanted = |key: &Key, version: u64| match is_feed {
            true => key.0 == table && version > after,
            false => key.0 == table && key.1 == part && key.2 >= from,
        };
        let mut found: Vec<(&Key, &(String, u64))> =
            rows.rows.iter().filter(|(key, (_, version))| is_wanted(key, *version)).collect();
        if is_feed {
            found.sort_by_key(|(_, (_, version))| *version);
        }
        let found: Vec<String> =
            found.iter().map(|(key, (value, version))| row_text(key, value, *version)).collect();
        let tail = tail(&rows);
        (200, format!("{{\"rows\":[{}],\"hasMore\":false,{tail}}}", found.join(",")))
    }
}

fn row_text(key: &Key, value: &str, version: u64) -> String {
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"value\":{},\"schemaVersion\":{version}}}",
        quoted(&key.0),
        quoted(&key.1),
        quoted(&key.2),
        quoted(value)
    )
}

fn tail(rows: &Rows) -> String {
    format!("\"schemaVersion\":{},\"nowMs\":{}", rows.version, 50_000 + now_ms())
}

/// An order that the platform received.
#[derive(Clone, Debug)]
pub struct Order {
    pub at_ms: u64,
    pub holder: String,
    pub token: u64,
    pub member: String,
}

/// What the platform does with an order. Returns the status of its response.
type Promote = Box<dyn Fn(&Order) -> u16 + Send + Sync>;

/// How connections to the platform's call go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// They are served.
    Served,
    /// Nothing listens.
    Refused,
    /// They are accepted, and requests are neither carried out nor answered.
    Silent,
    /// The same from the next order on; until then they are served.
    SilentFromOrder,
}

/// The platform's call `POST /failover`.
#[derive(Clone)]
pub struct Cloud {
    pub address: SocketAddr,
    pub orders: Arc<Mutex<Vec<Order>>>,
    /// Orders that came while it was silent.
    pub unanswered: Arc<Mutex<Vec<Order>>>,
    reach: Arc<Mutex<Reach>>,
}

impl Cloud {
    pub fn serve(listener: TcpListener, promote: Promote) -> Self {
        let address = listener.local_addr().expect("an address");
        let cloud = Self {
            address,
            orders: Arc::default(),
            unanswered: Arc::default(),
            reach: Arc::new(Mutex::new(Reach::Served)),
        };
        let served = cloud.clone();
        let promote = Arc::new(promote);
        thread::spawn(move || served.accept(listener, &promote));
        cloud
    }

    pub fn set_reach(&self, reach: Reach) {
        note!("platform: POST /failover is now {reach:?}");
        *self.reach.lock().expect("not poisoned") = reach;
    }

    fn accept(&self, first: TcpListener, promote: &Arc<Promote>) {
        let mut listener = Some(first);
        loop {
            let reach = *self.reach.lock().expect("not poisoned");
            match reach {
                Reach::Refused => listener = None,
                Reach::Served | Reach::Silent | Reach::SilentFromOrder => {
                    if listener.is_none() {
                        listener = TcpListener::bind(self.address).ok();
                    }
                    if let Some(socket) = &listener {
                        let _ = socket.set_nonblocking(true);
                        while let Ok((stream, _)) = socket.accept() {
                            let _ = stream.set_nonblocking(false);
                            let cloud = self.clone();
                            let promote = promote.clone();
                            thread::spawn(move || {
                                serve_connection(stream, &|request| {
                                    cloud.answer(request, &promote)
                                });
                            });
                        }
                    }
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn answer(&self, request: &Request, promote: &Promote) -> (u16, String) {
        if request.path != "/failover" {
            return (404, "{}".to_owned());
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let order = Order {
            at_ms: now_ms(),
            holder: request.header("x-duty-holder").to_owned(),
            token: request.header("x-fence-token").parse().unwrap_or(0),
            member: body.get("id").text().to_owned(),
        };
        note!(
            "platform: POST /failover holder={} token={} id={}",
            order.holder,
            order.token,
            order.member
        );
        if *self.reach.lock().expect("not poisoned") == Reach::SilentFromOrder {
            self.set_reach(Reach::Silent);
        }
        if *self.reach.lock().expect("not poisoned") == Reach::Silent {
            self.unanswered.lock().expect("not poisoned").push(order);
            thread::sleep(Duration::from_secs(30));
            return (503, "{}".to_owned());
        }
        let status = promote(&order);
        note!("platform: answered {status}");
        self.orders.lock().expect("not poisoned").push(order);
        (status, "{}".to_owned())
    }
}
