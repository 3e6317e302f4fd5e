use super::*;

#[test]
fn paired_difference_uses_students_t() {
    // t(0.975) of 3 degrees is 3.1824; the standard error of 1, 2, 3, 4 is 0.6455.
    let difference = paired_difference("x", &[1.0, 2.0, 3.0, 4.0]);
    assert!(
        (difference.mean - 2.5).abs() < 1e-12 && (difference.high - 2.5 - 2.0542).abs() < 1e-3,
        "{difference:?}"
    );
    assert!(paired_difference("x", &[1.0]).high.is_infinite());
    let equal = paired_difference("x", &[0.5, 0.5]);
    assert_eq!((equal.low, equal.high), (0.5, 0.5));
}
