//! Body framing and response heads, for any split of the bytes into reads.

use bytes::{Bytes, BytesMut};
use hyper::Method;
use hyssop_gateway::http::{
    framing::{Error, Framing, Step},
    head,
};

/// Decodes a body given as reads. Returns its bytes and whether its end was found.
fn decode(mut framing: Framing, reads: &[&[u8]]) -> Result<(Vec<u8>, bool), Error> {
    let (mut buffer, mut body) = (BytesMut::new(), Vec::new());
    for read in reads {
        buffer.extend_from_slice(read);
        loop {
            match framing.step(&mut buffer)? {
                Step::Data(data) => body.extend_from_slice(&data),
                Step::More => break,
                Step::End => return Ok((body, true)),
            }
        }
    }
    Ok((body, false))
}

const CHUNKED: &[u8] = b"3\r\nabc\r\nA;name=value\r\n0123456789\r\n0\r\nX-Trailer: 1\r\n\r\n";

#[test]
fn chunks_are_joined_for_any_split_into_reads() {
    for first in 0..CHUNKED.len() {
        for second in first..CHUNKED.len() {
            let reads = [&CHUNKED[..first], &CHUNKED[first..second], &CHUNKED[second..]];
            let body = decode(Framing::ChunkSize, &reads);
            assert_eq!(
                body,
                Ok((b"abc0123456789".to_vec(), true)),
                "split at {first} and {second}"
            );
        }
    }
}

#[test]
fn malformed_chunks_are_refused() {
    let cases: [&[u8]; 7] = [
        b"x\r\nabc\r\n0\r\n\r\n",
        b"-3\r\nabc\r\n0\r\n\r\n",
        b"+3\r\nabc\r\n0\r\n\r\n",
        b"3\nabc\r\n0\r\n\r\n",
        b"3\r\nabcd\r\n0\r\n\r\n",
        b"\r\nabc\r\n0\r\n\r\n",
        b"fffffffffffffffff\r\n",
    ];
    for bytes in cases {
        let body = decode(Framing::ChunkSize, &[bytes]);
        assert_eq!(body, Err(Error::Chunk), "{}", String::from_utf8_lossy(bytes));
    }
}

#[test]
fn closing_the_connection_truncates_an_incomplete_body() {
    assert_eq!(Framing::Length(1).on_close(), Err(Error::Truncated));
    assert_eq!(Framing::ChunkSize.on_close(), Err(Error::Truncated));
    assert_eq!(Framing::Trailers(0).on_close(), Err(Error::Truncated));
    assert_eq!(Framing::Length(0).on_close(), Ok(()));
    assert_eq!(Framing::UntilClose.on_close(), Ok(()));
}

/// Guards against lost data: looking for the end with `step` consumed the next chunk as well.
#[test]
fn take_end_consumes_nothing_else() {
    for left in 0..CHUNKED.len() {
        let mut framing = Framing::ChunkSize;
        let mut buffer = BytesMut::from(&CHUNKED[..left]);
        let mut body = Vec::new();
        while let Ok(Step::Data(data)) = framing.step(&mut buffer) {
            body.extend_from_slice(&data);
            framing.take_end(&mut buffer);
        }
        let plain = decode(Framing::ChunkSize, &[&CHUNKED[..left]]).expect("well-formed chunks");
        assert_eq!(body, plain.0, "the first {left} bytes");
    }
    let mut framing = Framing::ChunkData(0);
    let mut buffer = BytesMut::from(&b"\r\n0\r\n\r\nHTTP/1.1 200 OK"[..]);
    assert!(framing.take_end(&mut buffer));
    assert_eq!((framing, &buffer[..]), (Framing::Done, &b"HTTP/1.1 200 OK"[..]));
}

#[test]
fn ambiguous_framings_are_refused() {
    let heads = [
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: xchunked",
        "Content-Length: +3",
        "Content-Length: 3, 3",
        "Content-Length: ",
    ];
    for lines in heads {
        let mut buffer =
            BytesMut::from(format!("HTTP/1.1 200 OK\r\n{lines}\r\n\r\nabc").as_bytes());
        let parsed = head::parse(&mut buffer, &Method::GET);
        assert!(matches!(parsed, Err(head::Error::Framing)), "{lines}: {parsed:?}");
    }
}

#[test]
fn responses_without_a_body_end_with_their_head() {
    let text = "HTTP/1.1 204 No Content\r\n\r\n";
    let parsed = head::parse(&mut BytesMut::from(text), &Method::GET);
    assert_eq!(parsed.expect("a head").expect("a complete one").framing, Framing::Done);
    let text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    let parsed = head::parse(&mut BytesMut::from(text), &Method::HEAD);
    assert_eq!(parsed.expect("a head").expect("a complete one").framing, Framing::Done);
}

#[test]
fn any_response_bytes_are_decoded_or_refused() {
    bolero::check!().with_max_len(512).with_iterations(20_000).for_each(|bytes: &[u8]| {
        let mut buffer = BytesMut::from(bytes);
        if let Ok(Some(head)) = head::parse(&mut buffer, &Method::GET) {
            let mut framing = head.framing;
            for _ in 0..bytes.len() + 2 {
                match framing.step(&mut buffer) {
                    Ok(Step::Data(_)) => {}
                    Ok(Step::More | Step::End) | Err(_) => return,
                }
            }
            panic!("the body does not end");
        }
    });
}

#[test]
fn chunked_decoding_of_any_bytes_does_not_depend_on_the_split() {
    bolero::check!().with_max_len(512).with_iterations(20_000).for_each(|bytes: &[u8]| {
        let whole = decode(Framing::ChunkSize, &[bytes]);
        let half = bytes.len() / 2;
        let split = decode(Framing::ChunkSize, &[&bytes[..half], &bytes[half..]]);
        // Data before a malformed chunk may have been returned, but the result is the same.
        assert_eq!(whole, split);
    });
}

/// A backend server that sends trailers without end ends the exchange soon, not at its deadline.
#[test]
fn trailers_without_end_are_an_error() {
    let mut framing = Framing::ChunkSize;
    let mut buffer = BytesMut::from(&b"1\r\na\r\n0\r\n"[..]);
    assert_eq!(framing.step(&mut buffer), Ok(Step::Data(Bytes::from_static(b"a"))));
    let mut count = 0;
    let error = loop {
        buffer.extend_from_slice(b"X-A: a\r\n");
        match framing.step(&mut buffer) {
            Ok(step) => assert_eq!(step, Step::More),
            Err(error) => break error,
        }
        count += 1;
        assert!(count < 10_000, "no end after {count} trailers");
    };
    assert_eq!(error, Error::Chunk);
}
