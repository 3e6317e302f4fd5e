use super::*;
use proptest::prelude::*;

const REQUEST: &[u8] = b"POST /e HTTP/1.1\r\nReq-Id: x\r\nReq-Deadline: 9m\r\nX-Addressing: dest=1\r\n\r\n";

/// What may happen to a connection, in any order.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// Part of a request, its rest, or more than a whole one.
    Bytes(usize, usize),
    Quiet,
    /// SIGTERM; room is needed, or its time is up.
    Closing,
    End,
}

fn event() -> impl Strategy<Value = Event> {
    let piece = (0..REQUEST.len(), 1..2 * REQUEST.len()).prop_map(|(from, size)| Event::Bytes(from, size));
    prop_oneof![4 => piece, 2 => Just(Event::Quiet), 1 => Just(Event::Closing), 1 => Just(Event::End)]
}

/// Plays what the driver does: the steps that follow an event, until a read is due again. True where it is closed.
fn settle(client: &mut Client, closing: bool, served: &mut usize) -> bool {
    for _ in 0..100 {
        match client.step() {
            Step::Serve(_) => {
                assert_ne!(
                    client.stage,
                    Stage::Lingering,
                    "a request is taken from a connection that is shut"
                );
                *served += 1;
                (client.fresh, client.stage) = (false, Stage::Writing);
                if closing {
                    client.end();
                }
            }
            Step::Refuse(_) => client.end(),
            Step::Leave => {}
            Step::Shut => {
                assert_ne!(client.stage, Stage::Lingering, "it is shut twice");
                client.stage = Stage::Lingering;
            }
            Step::Close => {
                assert_eq!(client.stage, Stage::Lingering, "closed without having been shut");
                assert!(client.passed > LINGER_READS, "closed before its client");
                return true;
            }
            Step::Read => return false,
        }
    }
    panic!("the steps do not come to rest");
}

proptest! {
    #[test]
    fn a_connection_is_shut_before_it_is_closed_whatever_crosses(events in proptest::collection::vec(event(), 1..60)) {
        let (mut client, mut closing, mut served) = (Client::new(), false, 0);
        let mut over = settle(&mut client, closing, &mut served);
        for event in events {
            if over {
                break;
            }
            match event {
                Event::Bytes(from, size) => {
                    let bytes = REQUEST.iter().copied().cycle().skip(from).take(size).collect::<Vec<_>>();
                    client.bytes(&bytes);
                }
                Event::Quiet => {
                    if let Some(stage) = client.quiet(closing) {
                        client.stage = stage;
                    }
                }
                Event::Closing => closing = true,
                Event::End => client.end(),
            }
            over = settle(&mut client, closing, &mut served);
            // What a connection that ends has buffered is dropped: nobody is answered for it.
            prop_assert!(!client.last || client.held() == 0);
        }
    }
}

#[test]
fn which_connections_end_at_a_signal() {
    let half = &REQUEST[..20];
    // Whether a request was served before, what has come since, and what is awaited once nothing more is read.
    let cases: [(&str, bool, &[u8], Option<Stage>); 4] = [
        ("between requests it ends", true, b"", None),
        ("one that has just connected is about to ask", false, b"", Some(Stage::Idle)),
        ("a request that has begun is read", true, half, Some(Stage::Reading)),
        ("the first one, too", false, half, Some(Stage::Reading)),
    ];
    for (name, served, bytes, awaited) in cases {
        let mut client = Client::new();
        if served {
            client.bytes(REQUEST);
            assert!(matches!(client.step(), Step::Serve(_)), "{name}");
            client.fresh = false;
        }
        client.bytes(bytes);
        assert!(matches!(client.step(), Step::Read), "{name}");
        assert_eq!(client.quiet(true), awaited, "{name}");
        let shut = matches!(client.step(), Step::Shut);
        assert_eq!(shut, awaited.is_none(), "{name}");
    }
}

#[test]
fn a_client_that_goes_on_sending_after_the_end_is_closed_in_the_end() {
    let mut client = Client::new();
    client.end();
    assert!(matches!(client.step(), Step::Shut));
    client.stage = Stage::Lingering;
    for _ in 0..=16 {
        assert!(matches!(client.step(), Step::Read));
        client.bytes(REQUEST);
    }
    assert!(matches!(client.step(), Step::Close));
}
