//! Properties of all decoders of what comes from outside or from disk: HTTP messages, requests of clients, calls
//! and the answers to them, lists, notices' answers, configurations and folders. Whatever the bytes are, no
//! decoder panics, hangs or takes up more memory than the bytes account for; and what is cut off, split or
//! followed by more bytes never yields another message.
//!
//! `PROPTEST_CASES` sets the number of cases for a long run, and `PROPTEST_RNG_SEED` another seed.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use scalebarrow_sender::clients::{Client, Reply, Step, route};
use scalebarrow_sender::clock::BootReading;
use scalebarrow_sender::config::Config;
use scalebarrow_sender::endpoints::{
    CallForm, OutgoingWebhook, ResponseHead, attempt_results, encode_request,
};
use scalebarrow_sender::http::{Decoder, Headers, MAX_BODY_BYTES, Message, MessageHead, StartLine};
use scalebarrow_sender::journal::{FinalAnswer, Journal, Webhook};
use scalebarrow_sender::list::ListClient;
use scalebarrow_sender::notices::Notices;
use scalebarrow_store::{Files, MemoryFiles, OnError, Record, RecordKind, Store};
use std::collections::BTreeSet;

/// Memory that a decoder may take up beside twice the bytes that it was fed.
const BASE_MEMORY_BYTES: usize = 64 * 1024;
/// The disk limit of the journals.
const MAX_JOURNAL_BYTES: usize = 300_000;

/// A change of some bytes; `position` is taken modulo their number.
#[derive(Debug, Clone)]
enum Mutation {
    Flip { position: usize, mask: u8 },
    Insert { position: usize, bytes: Vec<u8> },
    Remove { position: usize, count: usize },
    Repeat { position: usize, count: usize },
    Truncate { position: usize },
}

impl Mutation {
    fn apply(&self, bytes: &mut Vec<u8>) {
        let end = |position: usize, count: usize, length: usize| (position + count).min(length);
        let at = |position: &usize| position % bytes.len().max(1);
        match self {
            Mutation::Flip { position, mask } => {
                let position = at(position);
                if let Some(byte) = bytes.get_mut(position) {
                    *byte ^= mask;
                }
            }
            Mutation::Insert { position, bytes: inserted } => {
                let position = at(position);
                bytes.splice(position..position, inserted.iter().copied());
            }
            Mutation::Remove { position, count } => {
                let position = at(position);
                bytes.drain(position..end(position, *count, bytes.len()));
            }
            Mutation::Repeat { position, count } => {
                let position = at(position);
                let repeated = bytes[position..end(position, *count, bytes.len())].to_vec();
                bytes.splice(position..position, repeated);
            }
            Mutation::Truncate { position } => {
                let position = at(position);
                bytes.truncate(position);
            }
        }
    }
}

fn mutation() -> impl Strategy<Value = Mutation> {
    let position = 0usize..100_000;
    prop_oneof![
        (position.clone(), 1u8..=255).prop_map(|(position, mask)| Mutation::Flip { position, mask }),
        (position.clone(), proptest::collection::vec(any::<u8>(), 1..8))
            .prop_map(|(position, bytes)| Mutation::Insert { position, bytes }),
        (position.clone(), 1usize..40).prop_map(|(position, count)| Mutation::Remove { position, count }),
        (position.clone(), 1usize..200).prop_map(|(position, count)| Mutation::Repeat { position, count }),
        position.prop_map(|position| Mutation::Truncate { position }),
    ]
}

/// Bytes that are some of the samples one behind another, mutated, or any bytes.
fn mutated(samples: Vec<Vec<u8>>) -> impl Strategy<Value = Vec<u8>> {
    let joined = proptest::collection::vec(proptest::sample::select(samples), 1..4);
    let mutated = (joined, proptest::collection::vec(mutation(), 0..4)).prop_map(|(parts, mutations)| {
        let mut bytes = parts.concat();
        mutations.iter().for_each(|mutation| mutation.apply(&mut bytes));
        bytes
    });
    prop_oneof![9 => mutated, 1 => proptest::collection::vec(any::<u8>(), 0..300)]
}

/// The start line and some headers of a message, as text.
#[derive(Debug)]
struct TextHead(String);

impl MessageHead for TextHead {
    fn decode(start: &StartLine, headers: &Headers) -> Self {
        let start_line = match start {
            StartLine::Request { method, target } => format!("{method} {target}"),
            StartLine::Response { status } => status.to_string(),
        };
        let header = |name| headers.get(name).unwrap_or("none").to_owned();
        TextHead(format!("{start_line} id={} key={}", header("Req-Id"), header("Idempotency-Key")))
    }
}

/// What a decoder yields: messages, and the error that ends them.
#[derive(Debug, Clone, PartialEq)]
enum Decoded {
    Message(String, Vec<u8>, bool),
    Error(String),
}

/// Decodes bytes that come in pieces of these sizes in turn.
fn decode(reads_responses: bool, bytes: &[u8], piece_sizes: &[usize]) -> Vec<Decoded> {
    let mut decoder: Decoder<TextHead> = if reads_responses {
        Decoder::for_responses(MAX_BODY_BYTES)
    } else {
        Decoder::for_requests(MAX_BODY_BYTES)
    };
    let (mut decoded, mut rest, mut pieces) = (Vec::new(), bytes, piece_sizes.iter().cycle());
    while !rest.is_empty() {
        let (piece, following) = rest.split_at(rest.len().min(*pieces.next().unwrap()));
        decoder.feed(piece);
        rest = following;
        assert!(decoder.buffered_bytes() <= 2 * bytes.len() + BASE_MEMORY_BYTES);
        loop {
            match decoder.next_message() {
                Ok(Some(Message { head, body, keep_alive })) => {
                    decoded.push(Decoded::Message(head.0, body, keep_alive));
                    assert!(decoded.len() <= bytes.len(), "more messages than bytes");
                }
                Ok(None) => break,
                Err(error) => {
                    decoded.push(Decoded::Error(format!("{error:?}")));
                    return decoded;
                }
            }
        }
    }
    decoded
}

fn samples(texts: &[&str]) -> Vec<Vec<u8>> {
    texts.iter().map(|text| text.as_bytes().to_vec()).collect()
}

fn http_samples() -> Vec<Vec<u8>> {
    samples(&[
        "POST /e HTTP/1.1\r\nReq-Id: a\r\nReq-Deadline: 480m\r\nContent-Length: 5\r\nX-Addressing: dest=7\r\n\r\nhello",
        "POST /e HTTP/1.1\r\nTransfer-Encoding: chunked\r\nReq-Id: b\r\n\r\n5;x=y\r\nhello\r\n3\r\nabc\r\n0\r\nT: u\r\n\r\n",
        "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n",
        "POST /e HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 103 Hints\r\nX-A: 1\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
        "HTTP/1.1 503 No\r\nRetry-After: 0.5\r\nX-Over-Slots: 1\r\nSrv-Load: TEXT x0=0.4, x1=25\r\nContent-Length: 0\r\n\r\n",
    ])
}

fn text(length: std::ops::Range<usize>) -> impl Strategy<Value = String> {
    proptest::collection::vec(proptest::char::range('!', '~'), length)
        .prop_map(|characters| characters.into_iter().collect())
}

/// Reads the webhooks in the body of a batch as a recipient does: id, key and length in a line, then the body.
fn read_batch(mut body: &[u8]) -> Vec<(String, Option<String>, Vec<u8>)> {
    let mut webhooks = Vec::new();
    while !body.is_empty() {
        let line_end = body.windows(2).position(|bytes| bytes == b"\r\n").unwrap();
        let line = std::str::from_utf8(&body[..line_end]).unwrap();
        let fields: Vec<&str> = line.split(' ').collect();
        let [id, key, length] = fields[..] else { panic!("{line:?}") };
        let (content, rest) = body[line_end + 2..].split_at(length.parse().unwrap());
        webhooks.push((id.to_owned(), (key != "-").then(|| key.to_owned()), content.to_vec()));
        body = rest.strip_prefix(b"\r\n").unwrap();
    }
    webhooks
}

fn list_samples() -> Vec<Vec<u8>> {
    let body = r#"{"seq":8,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:3","site":"z","class":"plain","block":1,"health":"SERVING","share":50.0,"born_ms":0}]}"#;
    let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let changes = r#"{"seq":9,"whole":false,"hosts":[]}"#;
    let chunked = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{changes}\r\n0\r\n\r\n",
        changes.len()
    );
    samples(&[&whole, &chunked, "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n"])
}

const CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":256,"disk_mb":3},
"known":{"seq":1,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:3","site":"z","class":"plain","block":1,"health":"SERVING","share":50.0,"born_ms":0}]},
"settings":{"caps":{"cancelling":true,"max-attempts":6,"open-cap":400},
"classes":[{"name":"e","aim-ms":2000.0,"deadline-ms":60000.0,"effect":"free","group":"all","late-value":0.3,"worth":1.0,"fifo-by-key":true}],
"family-info":{"bundle-max":[1],"decay":"by_half","slots":40},"instances":1,"me":0,"membership-mode":"push",
"models":["plain"],"rules":{},"weights":"none"}}"#;

fn webhook(number: u64) -> Webhook {
    Webhook {
        id: format!("webhook-{number}"),
        event_type: "e".into(),
        destination: number,
        ordering_key: number.is_multiple_of(2).then(|| "key".into()),
        customer: None,
        token: Some(format!("token-{number}")),
        expires_at: 1e6,
        body: vec![number as u8; 400],
    }
}

/// A folder with open webhooks, attempts and final answers in several segments.
fn filled_folder() -> MemoryFiles {
    let files = MemoryFiles::default();
    let mut journal = Journal::open_files(files.clone(), MAX_JOURNAL_BYTES, &BootReading::now()).unwrap().0;
    for number in 1..=100 {
        journal.record_webhook(number, webhook(number)).unwrap();
        if number.is_multiple_of(3) {
            journal.record_attempt_start(number, "zone", 1.0).unwrap();
        }
        if number.is_multiple_of(5) {
            journal.record_final_answer(number, FinalAnswer::DeadLettered).unwrap();
        }
    }
    files
}

/// Opens a folder that may hold anything. Each webhook that it yields must be one that was recorded in it.
fn check_folder(files: &MemoryFiles) {
    let Ok((mut journal, _)) = Journal::open_files(files.clone(), MAX_JOURNAL_BYTES, &BootReading::now())
    else {
        return;
    };
    for pending in journal.take_pending() {
        if let Ok(Some(found)) = journal.read_webhook(pending.number) {
            assert_eq!(*found, webhook(pending.number));
        }
        let _ = journal.webhook_id(pending.number);
    }
    for number in journal.unacknowledged_numbers() {
        let _ = journal.unacknowledged_answer(number);
    }
    journal.take_ended_ids();
    journal.take_memories();
    // The folder can still be written to, as far as its space allows.
    let _ = journal.record_webhook(1_000, webhook(1_000));
    let _ = journal.run_compaction_step();
}

/// Guards against a configuration of which the end is not read.
#[test]
fn a_configuration_that_is_followed_by_more_is_refused() {
    assert!(Config::decode(CONFIG.as_bytes()).is_ok());
    let message = Config::decode(format!("{CONFIG} {{}}").as_bytes()).unwrap_err();
    assert!(message.starts_with("trailing data"), "{message}");
}

/// Guards against ids and keys that would be read as something else where they are copied to: in a header, a
/// line of a batch or an answer.
#[test]
fn a_request_with_an_id_or_key_that_cannot_be_copied_is_refused() {
    for (id, key) in [("a b", "k"), ("a\tb", "k"), ("\u{e9}", "k"), ("a", "k 1"), ("a", ""), ("", "k")] {
        let mut client = Client::new();
        client.receive(
            format!(
                "POST /e HTTP/1.1\r\nReq-Id: {id}\r\nReq-Deadline: 480m\r\nIdempotency-Key: {key}\r\n\
                 X-Addressing: dest=7\r\nContent-Length: 0\r\n\r\n"
            )
            .as_bytes(),
        );
        let Step::HandleRequest(request) = client.next_step() else { panic!("{id:?} {key:?}") };
        let reply = route(request.head, &BTreeSet::from(["e".to_owned()])).unwrap_err();
        assert_eq!(reply, Reply::Status(400), "{id:?} {key:?}");
    }
}

/// The same cases in each run, unless the environment sets a seed.
fn seeded_config() -> ProptestConfig {
    let config = ProptestConfig::default();
    let rng_seed = if config.rng_seed == RngSeed::Random { RngSeed::Fixed(1) } else { config.rng_seed };
    ProptestConfig { failure_persistence: None, rng_seed, ..config }
}

proptest! {
    #![proptest_config(seeded_config())]

    /// Guards against a message that depends on how the bytes arrive, and against one that a cut makes.
    #[test]
    fn http_messages_depend_neither_on_pieces_nor_on_what_follows(
        reads_responses in any::<bool>(),
        bytes in mutated(http_samples()),
        piece_sizes in proptest::collection::vec(1usize..50, 1..5),
        cut in 0usize..2000,
    ) {
        // An incomplete line of a head is parsed when its end comes, so only then an error in it is certain to
        // be seen.
        let bytes = [&bytes[..], b"\r\n\r\n"].concat();
        let whole = decode(reads_responses, &bytes, &[usize::MAX]);
        prop_assert_eq!(&decode(reads_responses, &bytes, &piece_sizes), &whole);
        let cut = &bytes[..cut % (bytes.len() + 1)];
        let messages = |decoded: Vec<Decoded>| -> Vec<Decoded> {
            decoded.into_iter().filter(|decoded| matches!(decoded, Decoded::Message(..))).collect()
        };
        let (before_cut, all) = (messages(decode(reads_responses, cut, &[usize::MAX])), messages(whole));
        prop_assert!(all.starts_with(&before_cut), "{before_cut:?} are not the first of {all:?}");
    }

    /// Guards against a webhook that is accepted with other fields than its client sent, or with a body that is
    /// read as a further request.
    #[test]
    fn a_request_is_decoded_as_it_was_sent(
        id in text(1..40),
        key in text(1..40),
        body in proptest::collection::vec(any::<u8>(), 0..400),
        piece_size in 1usize..100,
    ) {
        let head = format!(
            "POST /e HTTP/1.1\r\nReq-Id: {id}\r\nReq-Deadline: 480m\r\nIdempotency-Key: {key}\r\n\
             X-Addressing: dest=7\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        // The body holds another request.
        let body = [&body[..], b"\r\n\r\n", head.as_bytes()].concat();
        let head = head.replace(
            &format!("Content-Length: {}", body.len() - head.len() - 4),
            &format!("Content-Length: {}", body.len()),
        );
        let bytes = [head.as_bytes(), &body].concat();
        let mut client = Client::new();
        let mut requests = Vec::new();
        for piece in bytes.chunks(piece_size) {
            client.receive(piece);
            match client.next_step() {
                Step::HandleRequest(request) => requests.push(request),
                Step::Read => {}
                step => prop_assert!(false, "{step:?}"),
            }
        }
        prop_assert_eq!(requests.len(), 1);
        let request = requests.remove(0);
        prop_assert!(request.body == body);
        let webhook = route(request.head, &BTreeSet::from(["e".to_owned()])).unwrap();
        prop_assert_eq!((webhook.id, webhook.token, webhook.destination), (id, Some(key), 7));
    }

    /// Guards against webhooks whose bodies are read as other webhooks of their call.
    #[test]
    fn a_call_is_read_as_it_was_encoded(
        webhooks in proptest::collection::vec(
            (text(1..30), proptest::option::of(text(1..30)), mutated(samples(&["x - 3\r\nabc\r\n", "\r\n"]))),
            1..4,
        )
    ) {
        let outgoing: Vec<OutgoingWebhook> = webhooks
            .iter()
            .map(|(id, token, body)| OutgoingWebhook { id, token: token.as_deref(), body })
            .filter(OutgoingWebhook::fits_batch)
            .collect();
        if let Some(request) = encode_request(&outgoing, CallForm::Batch, "h", 1.0) {
            let decoded = decode(false, &request, &[usize::MAX]);
            let [Decoded::Message(_, body, true)] = &decoded[..] else { panic!("{decoded:?}") };
            let read = read_batch(body);
            prop_assert_eq!(read.len(), outgoing.len());
            for ((id, token, body), webhook) in read.iter().zip(&outgoing) {
                prop_assert!(id == webhook.id && token.as_deref() == webhook.token && body == webhook.body);
            }
        }
        let (id, token, body) = &webhooks[0];
        let single = OutgoingWebhook { id, token: token.as_deref(), body };
        let request = encode_request(&[single], CallForm::Single, "h", 1.0).unwrap();
        let key = token.as_deref().unwrap_or("none");
        let expected = Decoded::Message(format!("POST /inbox id={id} key={key}"), body.clone(), false);
        prop_assert_eq!(decode(false, &request, &[usize::MAX]), vec![expected]);
    }

    /// Guards against results for webhooks that an answer does not name.
    #[test]
    fn an_answer_gives_each_webhook_of_its_call_one_result(
        body in mutated(samples(&["a ok\r\n", "b later\n", "c gone\r\n", "d exhausted\r\n", "a error\r\n"])),
    ) {
        let mut head = ResponseHead::default();
        head.status = 200;
        let response = Message { head, body: body.clone(), keep_alive: true };
        let ids = ["a", "b", "not-named"];
        if let Some(results) = attempt_results(&response, CallForm::Batch, &ids) {
            prop_assert_eq!(results.len(), ids.len());
            let names_it = String::from_utf8_lossy(&body).contains("not-named");
            prop_assert!(names_it || !results[2].is_final);
        }
    }

    /// Guards against a list that a cut or mutated answer yields although it is not one.
    #[test]
    fn a_list_answer_that_is_cut_waits_or_fails(bytes in mutated(list_samples()), cut in 0usize..3000) {
        let mut list = ListClient::new(7, true);
        list.connection_opened();
        let _ = list.feed(&bytes);
        for sample in list_samples() {
            let mut list = ListClient::new(7, true);
            list.connection_opened();
            let cut = &sample[..cut % sample.len()];
            prop_assert!(matches!(list.feed(cut), Ok(None) | Err(_)), "{:?}", String::from_utf8_lossy(cut));
        }
    }

    /// Guards against a notice that counts as acknowledged by anything but a whole 204.
    #[test]
    fn a_notice_is_acknowledged_by_a_whole_204_alone(
        bytes in mutated(samples(&[
            "HTTP/1.1 204 No Content\r\n\r\n",
            "HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 100 Go\r\n\r\n",
        ])),
    ) {
        let mut notices = Notices::new();
        notices.push(1);
        let host = "127.0.0.1:2".parse().unwrap();
        notices.next_request(&host, |_| Some(("a".into(), FinalAnswer::DeadLettered)));
        if let Ok(Some(numbers)) = notices.feed(&bytes) {
            prop_assert_eq!(numbers, vec![1]);
            let decoded = decode(true, &bytes, &[usize::MAX]);
            let is_204 = matches!(&decoded[..], [Decoded::Message(head, ..), ..] if head.starts_with("204 "));
            prop_assert!(is_204, "{decoded:?}");
        }
    }

    /// Guards against a configuration that ends the process in another way than with a message.
    #[test]
    fn a_mutated_configuration_is_read_or_refused_with_a_message(
        bytes in mutated(samples(&[CONFIG])),
    ) {
        if let Err(message) = Config::decode(&bytes) {
            prop_assert!(!message.is_empty() && message.len() < 10_000);
        }
    }

    /// Guards against webhooks that a damaged folder yields although nobody handed them in.
    #[test]
    fn a_mutated_folder_yields_no_webhook_that_was_not_recorded(
        selector in 0usize..100,
        mutations in proptest::collection::vec(mutation(), 1..4),
    ) {
        let files = filled_folder();
        let mut names = files.list().unwrap();
        names.sort();
        let name = &names[selector % names.len()];
        let mut bytes = vec![0; files.length(name).unwrap() as usize];
        files.clone().read_at(name, 0, &mut bytes).unwrap();
        mutations.iter().for_each(|mutation| mutation.apply(&mut bytes));
        files.clone().create(name).unwrap();
        files.clone().append(name, &bytes).unwrap();
        check_folder(&files);
    }

    /// Guards against a start that ends in a panic because a record holds something unexpected.
    #[test]
    fn records_of_any_content_are_read_or_given_up(
        records in proptest::collection::vec(
            (0u8..4, 0u8..4, any::<u64>(), proptest::collection::vec(any::<u8>(), 0..60), any::<bool>()),
            1..20,
        ),
        payload in proptest::collection::vec(any::<u8>(), 0..100),
    ) {
        let files = MemoryFiles::default();
        drop(Journal::open_files(files.clone(), MAX_JOURNAL_BYTES, &BootReading::now()).unwrap());
        let mut store = Store::open(files.clone(), MAX_JOURNAL_BYTES as u64, |_| ()).unwrap().0;
        for (kind, tag, key, metadata, is_small_key) in &records {
            let kind = [RecordKind::Value, RecordKind::State, RecordKind::Tombstone][usize::from(*kind) % 3];
            let key = if *is_small_key { key % 5 } else { *key };
            let record = Record { kind, tag: *tag, key, metadata, payload: &payload };
            store.append(&record, OnError::Discard).unwrap();
        }
        drop(store);
        let (mut journal, _) =
            Journal::open_files(files, MAX_JOURNAL_BYTES, &BootReading::now()).unwrap();
        for pending in journal.take_pending() {
            let _ = journal.read_webhook(pending.number);
            let _ = journal.webhook_id(pending.number);
            let _ = journal.record_final_answer(pending.number, FinalAnswer::DeadLettered);
        }
        for number in journal.unacknowledged_numbers() {
            let _ = journal.unacknowledged_answer(number);
        }
        journal.take_memories();
    }

    /// Guards against a conversion of the older journal that panics or takes bytes for records.
    #[test]
    fn an_older_journal_of_any_content_is_converted_or_refused(
        bytes in proptest::collection::vec(any::<u8>(), 0..400),
    ) {
        let mut files = MemoryFiles::default();
        files.create("journal").unwrap();
        files.append("journal", b"SBARROW1").unwrap();
        files.append("journal", &bytes).unwrap();
        check_folder(&files);
    }
}
