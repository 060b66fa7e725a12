//! A full buffer drops and counts lines instead of blocking the caller.

use std::io::Write as _;

use hyssop_logging::Buffer;
use tracing_subscriber::fmt::MakeWriter as _;

#[test]
fn lines_beyond_the_buffer_are_dropped_and_counted() {
    let buffer = Buffer::default();
    let line = [b'x'; 1 << 10];
    for _ in 0..600 {
        buffer.make_writer().write_all(&line).expect("writing never fails");
    }
    assert_eq!(buffer.take().len(), 512 << 10);
    assert_eq!(buffer.dropped(), 600 - 512);
    // Taking the lines frees the buffer.
    buffer.make_writer().write_all(&line).expect("writing never fails");
    assert_eq!((buffer.take().len(), buffer.dropped()), (1 << 10, 600 - 512));
}
