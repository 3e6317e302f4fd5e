use super::*;

#[test]
fn set_field_follows_paths_and_creates_missing_tables() {
    let text = "a = 1.0\nb.c = [1, 2]\n[[d]]\ne = 'x'";
    let cases = [
        ("a", Value::Integer(3), Ok(())),
        ("b.c.1", Value::Integer(7), Ok(())),
        ("d.0.e", Value::String("y".into()), Ok(())),
        ("new.one", Value::Boolean(true), Ok(())),
        ("d.1.e", Value::Integer(0), Err(())),
        ("a.b", Value::Integer(0), Err(())),
    ];
    for (field, new_value, expected) in cases {
        let mut value: Value = toml::from_str(text).unwrap();
        assert_eq!(set_field(&mut value, field, new_value).map_err(|_| ()), expected, "{field}");
    }
    let mut value: Value = toml::from_str(text).unwrap();
    set_field(&mut value, "a", Value::Integer(3)).unwrap();
    assert_eq!(value["a"], Value::Float(3.0));
}

#[test]
fn field_offset_finds_the_longest_written_part_of_a_path() {
    let text = "x = 1\n[w]\n[[w.kind]]\nname = 'a'\n[[w.kind]]\nname = 'b'\n";
    let line = |field| field_offset(text, field).map(|offset| text[..offset].matches('\n').count() + 1);
    assert_eq!(line("x"), Some(1));
    assert_eq!(line("w.kind.1.name"), Some(6));
    assert_eq!(line("w.kind.0.missing"), Some(3));
    assert_eq!(line("y"), None);
}
