//! Tests the sender when writes to its state folder fail for a while, also during start.

use crate::helpers::{
    Action, Endpoint, OK_RESPONSE, Platform, Program, endpoint_entry, endpoint_list, unique_address,
};
use scalebarrow_fault_control::FolderFault;
use std::collections::BTreeSet;
use std::time::Duration;

/// Guards against a start that fails because the partial record left by a kill cannot be truncated.
#[test]
fn a_start_after_a_partial_journal_record_needs_no_write() {
    for fault in [FolderFault::NoSpace, FolderFault::IoError] {
        println!("{fault:?}");
        let address = unique_address();
        let initial_list = endpoint_list(1, true, &[endpoint_entry("a", address, "plain", "SERVING")]);
        let platform = Platform::start(initial_list.clone(), 0);
        let mut program = Program::start_with_shim(&platform, &initial_list, &[]);
        assert_eq!(program.submit_webhook("once", "x", 8000, b""), 202);
        program.wait_for_log("outcome=ConnectFailed", 1);
        program.kill();
        program.append_partial_record();
        let endpoint = Endpoint::start_at(address, |_, _| Action::Respond(OK_RESPONSE));
        program.inject_folder_fault(fault);
        program.start_again();
        // An attempt that cannot be recorded is not made.
        assert_eq!(program.submit_webhook("once", "y", 8000, b""), 503);
        assert!(endpoint.calls.recv_timeout(Duration::from_millis(300)).is_err());
        program.inject_folder_fault(FolderFault::None);
        assert_eq!(endpoint.next_call().id(), "x");
        assert_eq!(program.submit_webhook("once", "z", 8000, b""), 202);
        assert_eq!(endpoint.next_call().id(), "z");
    }
}

/// Guards against an attempt after a final answer: the answer was reported although its record could not be
/// written, and after a kill the next process sent a webhook that its client had been told to submit again.
#[test]
fn a_webhook_reported_as_given_up_during_write_errors_is_not_sent_after_a_kill() {
    for fault in FolderFault::FAULTS {
        println!("{fault:?}");
        let address = unique_address();
        let initial_list = endpoint_list(1, true, &[endpoint_entry("a", address, "plain", "SERVING")]);
        let platform = Platform::start(initial_list.clone(), 0);
        // At most four webhooks may be pending: a fifth one displaces the one of the lowest value.
        let mut program =
            Program::start_with_shim(&platform, &initial_list, &[("\"open-cap\":300", "\"open-cap\":4")]);
        for number in 0..4 {
            program.submit_webhook("once", &format!("x{number}"), 8000, b"");
        }
        program.inject_folder_fault(fault);
        program.submit_webhook("once", "y", 8000, b"");
        let next_notice = || platform.notices.recv_timeout(Duration::from_millis(700)).ok();
        let reported: Vec<String> = std::iter::from_fn(next_notice).collect();
        program.kill();
        program.inject_folder_fault(FolderFault::None);
        let endpoint = Endpoint::start_at(address, |_, _| Action::Respond(OK_RESPONSE));
        program.start_again();
        while let Ok(call) = endpoint.calls.recv_timeout(Duration::from_millis(1000)) {
            let id = format!("\"{}\"", call.id());
            assert!(
                !reported.iter().any(|notice| notice.contains(&id)),
                "{id} was sent after it was given up"
            );
        }
    }
}

/// The end of a sealed segment without records whose last byte is the last of a file of this length: a
/// checkpoint and a trailer, as crates/store/src/frame.rs describes them.
fn empty_seal(segment_id: u64, file_length: u64) -> Vec<u8> {
    let checkpoint = [&[4, 0][..], &segment_id.to_le_bytes(), &[0, 0]].concat();
    let mut seal = (checkpoint.len() as u32).to_le_bytes().to_vec();
    seal.extend(crc32fast::hash(&checkpoint).to_le_bytes());
    seal.extend(&checkpoint);
    let checkpoint_offset = file_length - (seal.len() + 8 + b"SBSEGEND".len()) as u64;
    seal.extend(checkpoint_offset.to_le_bytes());
    seal.extend(b"SBSEGEND");
    seal
}

/// Guards against webhooks that are lost at a restart because the body of one of them reads as the seal of the
/// segment that holds them all.
#[test]
fn a_body_like_a_seal_hides_no_webhook_from_the_process_after_a_kill() {
    let endpoint = Endpoint::start(|_, _| Action::Respond(OK_RESPONSE));
    let entry = |health| endpoint_entry("a", endpoint.address, "plain", health);
    let initial_list = endpoint_list(1, true, &[entry("DRAINING")]);
    let platform = Platform::start(initial_list.clone(), 0);
    let mut program = Program::start(&platform, &initial_list, &[]);
    let segment = program.folder.join("state/segment-0000000001");
    let segment_length = || std::fs::metadata(&segment).unwrap().len();
    let ids = ["held-1", "held-2", "seal-1", "seal-2"];
    for id in &ids[..2] {
        assert_eq!(program.submit_webhook("idem", id, 8000, b"a body"), 202);
    }
    // Both bodies have the same length, so the first one tells what the record of the second one takes up.
    let length_before = segment_length();
    assert_eq!(program.submit_webhook("idem", ids[2], 8000, &empty_seal(1, length_before)), 202);
    let record_length = segment_length() - length_before;
    let body = empty_seal(1, segment_length() + record_length);
    assert_eq!(program.submit_webhook("idem", ids[3], 8000, &body), 202);
    assert_eq!(segment_length(), length_before + 2 * record_length);
    program.kill_and_restart();
    // The platform may still hold a watch of the process that was killed.
    for _ in 0..2 {
        platform.answer_watch(endpoint_list(2, false, &[entry("SERVING")]));
    }
    let called: BTreeSet<String> = ids.iter().map(|_| endpoint.next_call().id()).collect();
    assert_eq!(called, ids.map(String::from).into());
}

/// Guards against two processes that write to one folder: the second one must end and leave the folder as it
/// is, also after a reload, while the first one goes on; a kill must not keep the next process out.
#[test]
fn a_second_process_on_a_folder_ends_and_leaves_it_untouched() {
    let endpoint = Endpoint::start(|_, _| Action::Respond(OK_RESPONSE));
    let initial_list = endpoint_list(1, true, &[endpoint_entry("a", endpoint.address, "plain", "SERVING")]);
    let platform = Platform::start(initial_list.clone(), 0);
    let mut program = Program::start(&platform, &initial_list, &[]);
    let segment = program.folder.join("state/segment-0000000001");
    for (index, round) in ["at first", "after SIGHUP", "after SIGKILL"].into_iter().enumerate() {
        match round {
            "after SIGHUP" => {
                program.send_signal("HUP");
                program.wait_for_log("code=\"config-read\"", 1);
            }
            "after SIGKILL" => program.kill_and_restart(),
            _ => {}
        }
        assert_eq!(program.submit_webhook("idem", &format!("x{index}"), 8000, b""), 202);
        endpoint.next_call();
        program.wait_for_log("an attempt ended", index + 1);
        let before = std::fs::read(&segment).unwrap();
        let output = program.run_second_process();
        let message = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{round}: {message}");
        let (folder, process_id) = (program.folder.join("state"), program.process_id());
        let expected = format!("scalebarrow: {}: process {process_id} uses this folder\n", folder.display());
        assert_eq!(message, expected, "{round}");
        assert!(std::fs::read(&segment).unwrap() == before, "{round}: the folder changed");
    }
}

/// Changes one byte of a file, at an offset from the first place where it has these bytes.
fn damage(path: &std::path::Path, bytes: &[u8], offset: usize) {
    let mut content = std::fs::read(path).unwrap();
    let position = content.windows(bytes.len()).position(|window| window == bytes).unwrap();
    content[position + offset] ^= 1;
    std::fs::write(path, content).unwrap();
}

/// Guards against webhooks that get no final answer because their records are damaged: the platform is
/// notified, unless the id is damaged as well.
#[test]
fn a_webhook_whose_record_is_damaged_ends_with_a_notice_if_its_id_can_be_read() {
    let endpoint = Endpoint::start(|_, _| Action::Respond(OK_RESPONSE));
    let entry = |health| endpoint_entry("a", endpoint.address, "plain", health);
    let initial_list = endpoint_list(1, true, &[entry("DRAINING")]);
    let platform = Platform::start(initial_list.clone(), 0);
    // So little that the first segment is sealed after a few webhooks.
    let changes = [("\"disk_mb\":3", "\"disk_mb\":0.3")];
    let mut program = Program::start(&platform, &initial_list, &changes);
    for number in 0..8 {
        let body = [b"start".as_slice(), &[b'0' + number; 5000]].concat();
        assert_eq!(program.submit_webhook("once", &format!("webhook-{number}"), 8000, &body), 202);
    }
    program.kill();
    let segment = program.folder.join("state/segment-0000000001");
    damage(&segment, b"start1111", 100);
    damage(&segment, b"webhook-2", 3);
    program.start_again();
    let notice = platform.next_notice();
    assert_eq!(notice, "{\"id\":\"webhook-1\",\"state\":\"returned\"}\n");
    program.wait_for_log("code=\"journal-damaged\"", 2);
    let log = program.log();
    let unidentified = log.lines().find(|line| line.contains("its id is damaged as well")).unwrap();
    assert!(unidentified.contains("segment-0000000001: the record at offset"), "{unidentified}");
    // The platform may still hold a watch of the process that was killed.
    for _ in 0..2 {
        platform.answer_watch(endpoint_list(2, false, &[entry("SERVING")]));
    }
    let called: BTreeSet<String> = (0..6).map(|_| endpoint.next_call().id()).collect();
    let expected = [0, 3, 4, 5, 6, 7].map(|number| format!("webhook-{number}"));
    assert_eq!(called, expected.into());
}
