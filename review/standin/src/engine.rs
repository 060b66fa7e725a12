//! Engines as PROTOCOL.md tells them: a sound one runs a request once and says so. A request for a
//! stream gets its events at a steady pace, after the one that `Last-Event-Id` names.

use std::{
    io::Write as _,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::http::Connection;

/// A run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub engine: String,
    pub service: String,
    pub tenant: String,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// What an engine makes of a request.
#[derive(Debug, Clone, Copy)]
pub enum Work {
    /// One answer, after this time.
    Answer(Duration),
    /// The same, by an engine in need: its answers name this `Server-Limit`.
    LimitedAnswer(Duration, u32),
    /// A stream of so many events, one each time.
    Stream(u64, Duration),
}

pub struct Engine {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
}

impl Engine {
    /// Starts an engine that does `work` for each request, and enters its runs into `runs`.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        work: Work,
        runs: &Runs,
    ) -> Self {
        let listener = TcpListener::bind(address).expect("the engine's address is free");
        let engine = Self { id: id.into(), service: service.into(), zone: zone.into(), address };
        let (id, service, runs) = (engine.id.clone(), engine.service.clone(), Arc::clone(runs));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, service, runs) = (id.clone(), service.clone(), Arc::clone(&runs));
                thread::spawn(move || serve(stream, &id, &service, work, &runs));
            }
        });
        engine
    }

    /// The engine's entry in the store.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":1,\"born\":1700000000000}}",
            self.service, self.address, self.zone
        )
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }
}

fn serve(stream: TcpStream, id: &str, service: &str, work: Work, runs: &Runs) {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let mut connection = Connection::new(stream);
    while let Ok(Some(request)) = connection.read_request() {
        let request_id = request.header("request-id").to_owned();
        let answered = if request.path() == "/healthz" {
            connection.answer(200, &[("instance-id", id)], b"")
        } else if !["", id].contains(&request.header("expect-instance")) {
            connection.answer(421, &[("request-id", &request_id), ("not-run", "1")], b"")
        } else {
            let run = Run {
                id: request_id.clone(),
                engine: id.into(),
                service: service.into(),
                tenant: request.header("tenant").into(),
            };
            runs.lock().expect("no panic").push(run);
            let stamp = format!("{id}.{request_id}");
            let headers = [
                ("request-id", &*request_id),
                ("server-stamp", &*stamp),
                ("keep-alive", "timeout=5"),
            ];
            match work {
                Work::Answer(time) => {
                    thread::sleep(time);
                    connection.answer(200, &headers, format!("run by {id} of {service}").as_bytes())
                }
                Work::LimitedAnswer(time, limit) => {
                    thread::sleep(time);
                    let limit = limit.to_string();
                    let headers = [&headers[..], &[("server-limit", &*limit)]].concat();
                    connection.answer(200, &headers, format!("run by {id} of {service}").as_bytes())
                }
                Work::Stream(events, pause) => {
                    let after = request.header("last-event-id").parse().unwrap_or(0);
                    stream_events(&mut connection, &headers, after, events, pause)
                }
            }
        };
        if answered.is_err() {
            return;
        }
    }
}

fn stream_events(
    connection: &mut Connection,
    headers: &[(&str, &str)],
    after: u64,
    events: u64,
    pause: Duration,
) -> std::io::Result<()> {
    let mut head = String::from(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n",
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    connection.stream.write_all(head.as_bytes())?;
    for number in after + 1..=events {
        thread::sleep(pause);
        let event = format!("id: {number}\ndata: part {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        connection.stream.write_all(chunk.as_bytes())?;
    }
    connection.stream.write_all(b"0\r\n\r\n")
}
