use super::*;
use proptest::prelude::*;

const REQUEST: &[u8] = b"POST /e HTTP/1.1\r\nReq-Id: x\r\nReq-Deadline: 9m\r\nX-Addressing: dest=1\r\n\r\n";

/// What may happen to a connection, in any order.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// Bytes received, from an offset in a request on: part of one, its rest, or more than a whole one.
    Bytes(usize, usize),
    /// A read found nothing.
    ReadBlocked,
    /// SIGTERM.
    Shutdown,
    /// The sender closes the connection, as descriptors run short or the deadline has passed.
    BeginClose,
}

fn connection_event() -> impl Strategy<Value = Event> {
    let request_bytes =
        (0..REQUEST.len(), 1..2 * REQUEST.len()).prop_map(|(offset, length)| Event::Bytes(offset, length));
    prop_oneof![4 => request_bytes, 2 => Just(Event::ReadBlocked), 1 => Just(Event::Shutdown), 1 => Just(Event::BeginClose)]
}

/// Does what the driver does after an event: runs steps until a read is due. True if the connection is
/// closed.
fn run_steps(client: &mut Client, shutting_down: bool, handled_requests: &mut usize) -> bool {
    for _ in 0..100 {
        match client.next_step() {
            Step::HandleRequest(_) => {
                assert_ne!(
                    client.stage,
                    Stage::Lingering,
                    "a request is handled on a connection that is shut down"
                );
                *handled_requests += 1;
                (client.awaits_first_request, client.stage) = (false, Stage::Writing);
                if shutting_down {
                    client.begin_close();
                }
            }
            Step::Reject(_) => client.begin_close(),
            Step::SendContinue => {}
            Step::ShutdownWrite => {
                assert_ne!(client.stage, Stage::Lingering, "it is shut down twice");
                client.stage = Stage::Lingering;
            }
            Step::Close => {
                assert_eq!(client.stage, Stage::Lingering, "closed without having been shut down");
                assert!(client.discarded_reads > MAX_LINGER_READS, "closed before the read limit");
                return true;
            }
            Step::Read => return false,
        }
    }
    panic!("the steps never lead to a read or a close");
}

proptest! {
    #[test]
    fn shutdown_precedes_close_for_any_event_order(events in proptest::collection::vec(connection_event(), 1..60)) {
        let (mut client, mut shutting_down, mut handled_requests) = (Client::new(), false, 0);
        let mut is_closed = run_steps(&mut client, shutting_down, &mut handled_requests);
        for event in events {
            if is_closed {
                break;
            }
            match event {
                Event::Bytes(offset, length) => {
                    let bytes = REQUEST.iter().copied().cycle().skip(offset).take(length).collect::<Vec<_>>();
                    client.receive(&bytes);
                }
                Event::ReadBlocked => {
                    if let Some(stage) = client.read_blocked(shutting_down) {
                        client.stage = stage;
                    }
                }
                Event::Shutdown => shutting_down = true,
                Event::BeginClose => client.begin_close(),
            }
            is_closed = run_steps(&mut client, shutting_down, &mut handled_requests);
            // Buffered input of a closing connection is dropped, as nobody gets a response to it.
            prop_assert!(!client.closing || client.buffered_bytes() == 0);
        }
    }
}

#[test]
fn only_an_idle_connection_that_was_used_is_closed_at_shutdown() {
    let partial_request = &REQUEST[..20];
    // Name, whether a request was handled before, the bytes received since, and the stage once nothing more
    // is read.
    let cases: [(&str, bool, &[u8], Option<Stage>); 4] = [
        ("between requests it is closed", true, b"", None),
        ("a client that has just connected may still send a request", false, b"", Some(Stage::Idle)),
        ("a request that has begun is read to its end", true, partial_request, Some(Stage::Reading)),
        ("so is the first request", false, partial_request, Some(Stage::Reading)),
    ];
    for (name, has_handled_request, bytes, expected_stage) in cases {
        let mut client = Client::new();
        if has_handled_request {
            client.receive(REQUEST);
            assert!(matches!(client.next_step(), Step::HandleRequest(_)), "{name}");
            client.awaits_first_request = false;
        }
        client.receive(bytes);
        assert!(matches!(client.next_step(), Step::Read), "{name}");
        assert_eq!(client.read_blocked(true), expected_stage, "{name}");
        let is_shut_down = matches!(client.next_step(), Step::ShutdownWrite);
        assert_eq!(is_shut_down, expected_stage.is_none(), "{name}");
    }
}

#[test]
fn a_client_that_keeps_sending_after_shutdown_is_closed_after_the_read_limit() {
    let mut client = Client::new();
    client.begin_close();
    assert!(matches!(client.next_step(), Step::ShutdownWrite));
    client.stage = Stage::Lingering;
    for _ in 0..=16 {
        assert!(matches!(client.next_step(), Step::Read));
        client.receive(REQUEST);
    }
    assert!(matches!(client.next_step(), Step::Close));
}
