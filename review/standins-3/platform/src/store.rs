//! The platform's store: rows with versions, transactions and feeds.

use std::{
    collections::BTreeMap,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{Handler, Reply, Request},
    json::Json,
};

/// How long a transaction takes, as the settings of a small deployment say.
const TRANSACTION_TIME: Duration = Duration::from_millis(6);
/// The most rows of an answer.
const ROWS_MAX: usize = 500;

#[derive(Clone)]
struct Row {
    /// The content in base64; `None` for a row that was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Rows {
    version: u64,
    /// By table, part and key.
    rows: BTreeMap<(String, String, String), Row>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Rows>, Condvar)>);

impl Store {
    /// Writes a row, or removes it; for the operator and the minions.
    pub fn put(&self, table: &str, key: &str, value: Option<&Json>) {
        let mut rows = self.0 .0.lock().expect("no thread panics");
        rows.version += 1;
        let row = Row {
            value: value.map(|value| base64(value.write().as_bytes())),
            version: rows.version,
        };
        let name = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(name, row);
        self.0 .1.notify_all();
    }

    pub fn handler(&self) -> Handler {
        let store = self.clone();
        Arc::new(move |request| store.serve(&request))
    }

    fn serve(&self, request: &Request) -> Reply {
        let path = request.path.split('?').next().unwrap_or_default();
        match path {
            "/rows-tx" => self.transact(&request.body),
            "/rows-get" => self.read(request),
            "/rows-feed" => self.follow(request),
            _ => Reply::Answer(404, "{}".to_owned()),
        }
    }

    fn transact(&self, body: &[u8]) -> Reply {
        let Some(body) = Json::parse(body) else {
            return Reply::Answer(400, "{}".to_owned());
        };
        std::thread::sleep(TRANSACTION_TIME);
        let name = |row: &Json| {
            let part = |field| row.str(field).to_owned();
            (part("table"), part("part"), part("key"))
        };
        let mut rows = self.0 .0.lock().expect("no thread panics");
        let current = |rows: &Rows, row: &Json| {
            let found = rows.rows.get(&name(row)).filter(|row| row.value.is_some());
            found.cloned()
        };
        let expected = body.list("expected_revision");
        let holds = |row: &Json| {
            current(&rows, row).map_or(0, |row| row.version) == row.u64("ver").unwrap_or(0)
        };
        if !expected.iter().all(holds) {
            let found = expected
                .iter()
                .filter_map(|row| Some(wire_row(&name(row), &current(&rows, row)?)));
            let answer = Json::object(vec![
                ("rows", Json::List(found.collect())),
                ("ver", Json::number(rows.version)),
            ]);
            return Reply::Answer(412, answer.write());
        }
        rows.version += 1;
        let version = rows.version;
        for row in body.list("set_keys") {
            let value = Some(row.str("value").to_owned());
            rows.rows.insert(name(row), Row { value, version });
        }
        for row in body.list("remove") {
            let value = None;
            rows.rows.insert(name(row), Row { value, version });
        }
        self.0 .1.notify_all();
        let answer = Json::object(vec![("ver", Json::number(version))]);
        Reply::Answer(200, answer.write())
    }

    fn read(&self, request: &Request) -> Reply {
        let table = request.parameter("table").unwrap_or_default();
        let part = request.parameter("part").unwrap_or_default();
        let from = request.parameter("from").unwrap_or_default();
        let rows = self.0 .0.lock().expect("no thread panics");
        let is_asked = |(name, row): &(&(String, String, String), &Row)| {
            name.0 == table && name.1 == part && name.2 >= from && row.value.is_some()
        };
        let mut found: Vec<Json> = rows
            .rows
            .iter()
            .filter(is_asked)
            .take(ROWS_MAX + 1)
            .map(|(name, row)| wire_row(name, row))
            .collect();
        let has_more = found.len() > ROWS_MAX;
        found.truncate(ROWS_MAX);
        let answer = Json::object(vec![
            ("rows", Json::List(found)),
            ("has_more", Json::Bool(has_more)),
            ("ver", Json::number(rows.version)),
        ]);
        Reply::Answer(200, answer.write())
    }

    fn follow(&self, request: &Request) -> Reply {
        let table = request.parameter("table").unwrap_or_default();
        let number = |name| {
            request
                .parameter(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut rows = self.0 .0.lock().expect("no thread panics");
        loop {
            let mut changed: Vec<_> = rows
                .rows
                .iter()
                .filter(|(name, row)| name.0 == table && row.version > after)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                changed.sort_by_key(|(_, row)| row.version);
                let found = changed.into_iter().map(|(name, row)| wire_row(name, row));
                let answer = Json::object(vec![
                    ("rows", Json::List(found.collect())),
                    ("ver", Json::number(rows.version)),
                ]);
                return Reply::Answer(200, answer.write());
            }
            let waited = self
                .0
                 .1
                .wait_timeout(rows, left)
                .expect("no thread panics");
            rows = waited.0;
        }
    }
}

fn wire_row(name: &(String, String, String), row: &Row) -> Json {
    let mut fields = vec![
        ("table", Json::text(&name.0)),
        ("part", Json::text(&name.1)),
        ("key", Json::text(&name.2)),
        ("ver", Json::number(row.version)),
    ];
    match &row.value {
        Some(value) => fields.push(("value", Json::text(value))),
        None => fields.push(("tombstone", Json::Bool(true))),
    }
    Json::object(fields)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit <= chunk.len() {
                out.push(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
