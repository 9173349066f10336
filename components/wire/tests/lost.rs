//! A connection that closes after the request was sent.

use std::io::Read;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use chicoryford_wire::CallError;
use chicoryford_wire::Client;

/// Symptom: a label is printed twice, after the first printing was reported as "not run".
/// Sequence: the call arrives; the process that took it crashes before it answers.
/// Cause: the library's error for the closed connection reads like one for no connection.
#[test]
fn a_connection_that_closes_before_the_answer_is_lost_and_not_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let taker = thread::spawn(move || {
        let (mut taken, _) = listener.accept().unwrap();
        taken.read(&mut [0; 4_096]).unwrap()
    });
    actix_rt::System::new().block_on(async {
        let client = Client::new(None, None).fresh();
        let timeout = Duration::from_secs(20);
        let lost = client.call::<str, ()>(&address, "/call", "x", timeout).await;
        assert!(matches!(lost, Err(CallError::Lost { .. })), "{lost:?}");
    });
    assert!(taker.join().unwrap() > 0);
}
