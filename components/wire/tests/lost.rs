//! Errors of connections that close after the request was sent.

use std::io::Read;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use chicoryford_wire::CallError;
use chicoryford_wire::Client;

/// Guards against running a call twice, for example printing a label twice, because the first run
/// was reported as "not run". The process that receives the call crashes before it answers, and the
/// library reports the closed connection like a connection that was never established.
#[test]
fn connection_closed_before_the_answer_counts_as_lost() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.read(&mut [0; 4_096]).unwrap()
    });
    actix_rt::System::new().block_on(async {
        let client = Client::new(None, None).fresh();
        let timeout = Duration::from_secs(20);
        let result = client.call::<str, ()>(&address, "/call", "x", timeout).await;
        assert!(matches!(result, Err(CallError::Lost { .. })), "{result:?}");
    });
    assert!(server.join().unwrap() > 0);
}
