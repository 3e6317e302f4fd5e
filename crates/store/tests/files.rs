//! Tests that each implementation of [`Files`] keeps the contract of the trait.

use scalebarrow_store::{FaultyFiles, Files, FolderFiles, MemoryFiles};
use std::io::ErrorKind;

/// Reads `length` bytes at an offset.
fn read(files: &mut impl Files, name: &str, offset: u64, length: usize) -> Result<Vec<u8>, ErrorKind> {
    let mut bytes = vec![0; length];
    files.read_at(name, offset, &mut bytes).map(|()| bytes).map_err(|error| error.kind())
}

/// Lists the file names in ascending order.
fn names(files: &impl Files) -> Vec<String> {
    let mut names = files.list().unwrap();
    names.sort();
    names
}

/// Checks every operation, its errors, and the order in which operations follow each other.
fn check_contract(mut files: impl Files) {
    assert!(names(&files).is_empty());
    for result in [
        files.length("a").map(drop),
        files.append("a", b"x"),
        files.read_at("a", 0, &mut [0]),
        files.write_at("a", 0, b"x"),
        files.truncate("a", 0),
        files.rename("a", "b"),
        files.remove("a"),
    ] {
        assert_eq!(result.unwrap_err().kind(), ErrorKind::NotFound);
    }
    files.create("a").unwrap();
    assert_eq!(files.length("a").unwrap(), 0);
    files.append("a", b"one").unwrap();
    files.append("a", b"two").unwrap();
    files.create("b").unwrap();
    files.append("b", b"other").unwrap();
    files.append("a", b"three").unwrap();
    assert_eq!(read(&mut files, "a", 2, 4).unwrap(), b"etwo");
    assert_eq!(read(&mut files, "a", 11, 0).unwrap(), b"");
    assert_eq!(read(&mut files, "a", 10, 2).unwrap_err(), ErrorKind::UnexpectedEof);
    assert_eq!(read(&mut files, "a", 20, 1).unwrap_err(), ErrorKind::UnexpectedEof);
    // An append after a truncation starts at the new end.
    files.truncate("a", 4).unwrap();
    files.append("a", b"!").unwrap();
    assert_eq!(read(&mut files, "a", 0, 5).unwrap(), b"onet!");
    assert_eq!(files.length("a").unwrap(), 5);
    // An overwrite changes bytes in place, and appends go on at the end.
    files.write_at("a", 1, b"NE").unwrap();
    files.append("a", b"4").unwrap();
    assert_eq!(read(&mut files, "a", 0, 6).unwrap(), b"oNEt!4");
    files.write_at("a", 1, b"ne").unwrap();
    files.truncate("a", 5).unwrap();
    // A rename replaces the other file, even if either was read or appended to before.
    files.rename("a", "b").unwrap();
    assert_eq!((names(&files), files.length("b").unwrap()), (vec!["b".to_owned()], 5));
    assert_eq!(read(&mut files, "b", 0, 5).unwrap(), b"onet!");
    files.append("b", b"?").unwrap();
    assert_eq!(read(&mut files, "b", 0, 6).unwrap(), b"onet!?");
    // Creating an existing file empties it; a removed file is gone, and a new one of its name is independent
    // of it.
    files.create("b").unwrap();
    assert_eq!(files.length("b").unwrap(), 0);
    files.append("b", b"new").unwrap();
    assert_eq!(read(&mut files, "b", 0, 3).unwrap(), b"new");
    files.remove("b").unwrap();
    assert!(names(&files).is_empty());
    assert_eq!(read(&mut files, "b", 0, 1).unwrap_err(), ErrorKind::NotFound);
    assert_eq!(files.append("b", b"x").unwrap_err().kind(), ErrorKind::NotFound);
    files.create("b").unwrap();
    files.append("b", b"last").unwrap();
    assert_eq!(read(&mut files, "b", 0, 4).unwrap(), b"last");
}

#[test]
fn memory_files_keep_the_contract() {
    check_contract(MemoryFiles::default());
}

#[test]
fn folder_files_keep_the_contract() {
    let folder =
        std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("files-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    check_contract(FolderFiles::new(&folder));
    // Directories are not listed.
    std::fs::create_dir(folder.join("sub")).unwrap();
    assert_eq!(names(&FolderFiles::new(&folder)), ["b"]);
}

#[test]
fn faulty_files_without_a_fault_keep_the_contract() {
    check_contract(FaultyFiles::new(MemoryFiles::default(), None));
}
