use super::*;

#[test]
fn intervals_are_those_of_students_t() {
    // t(0.975) of 3 degrees is 3.1824; the standard error of 1, 2, 3, 4 is 0.6455.
    let d = paired("x", &[1.0, 2.0, 3.0, 4.0]);
    assert!((d.mean - 2.5).abs() < 1e-12 && (d.high - 2.5 - 2.0542).abs() < 1e-3, "{d:?}");
    assert!(paired("x", &[1.0]).high.is_infinite());
    let same = paired("x", &[0.5, 0.5]);
    assert_eq!((same.low, same.high), (0.5, 0.5));
}
