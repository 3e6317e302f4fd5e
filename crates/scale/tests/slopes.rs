//! The slopes file, and the line that is fitted to points.

use scalebarrow_scale::slopes::{FittedLine, MeasurementKind, Slope, SlopeFile};

fn slope(id: &str, points: &[(f64, f64)]) -> Slope {
    let line = FittedLine::fit(points).unwrap();
    Slope {
        id: id.into(),
        role: "sender".into(),
        quantity: "resident memory".into(),
        per: "webhook held".into(),
        unit: "B".into(),
        slope: line.slope,
        base: line.base,
        points: points.to_vec(),
        range: (1.0, 3.0),
        residual: line.residual,
        kind: MeasurementKind::Real,
        verb: "slope held".into(),
        commit: "abc".into(),
    }
}

#[test]
fn fitted_lines_have_the_expected_slope_base_and_residual() {
    for (points, expected) in [
        (&[][..], None),
        (&[(1.0, 2.0)], None),
        (&[(1.0, 2.0), (1.0, 3.0)], None),
        (&[(0.0, 5.0), (10.0, 25.0)], Some((2.0, 5.0, 0.0))),
        (&[(0.0, 5.0), (10.0, 25.0), (20.0, 45.0)], Some((2.0, 5.0, 0.0))),
        // The middle point lies 3 below the line through the means, and is 12 itself.
        (&[(0.0, 6.0), (10.0, 12.0), (20.0, 36.0)], Some((1.5, 3.0, 0.5))),
        // The quantity falls as the count grows: the line stays at the highest point, 3 above the lowest.
        (&[(0.0, 6.0), (10.0, 3.0), (20.0, 4.0)], Some((0.0, 6.0, 1.0))),
    ] {
        let line = FittedLine::fit(points);
        assert_eq!(line.is_some(), expected.is_some(), "{points:?}");
        let Some((line, (slope, base, residual))) = line.zip(expected) else { continue };
        for (actual, expected_value) in [(line.slope, slope), (line.base, base), (line.residual, residual)] {
            assert!((actual - expected_value).abs() < 1e-6, "{points:?}: {line:?}");
        }
    }
}

#[test]
fn insert_replaces_one_slope_and_keeps_names_and_points_sorted() {
    let folder = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(std::process::id().to_string());
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("slopes.json");
    assert_eq!(SlopeFile::read(&path).unwrap(), SlopeFile::default());
    let mut file = SlopeFile::default();
    file.insert(slope("b", &[(1.0, 2.0), (2.0, 4.0)]));
    file.insert(slope("a", &[(3.0, 2.0), (1.0, 4.0)]));
    file.insert(slope("b", &[(3.0, 2.0), (2.0, 4.0)]));
    file.write(&path).unwrap();
    let read = SlopeFile::read(&path).unwrap();
    assert_eq!(read, file);
    assert_eq!(read.slopes.iter().map(|slope| slope.id.as_str()).collect::<Vec<_>>(), ["a", "b"]);
    assert_eq!(read.get("b").unwrap().points, [(2.0, 4.0), (3.0, 2.0)]);
    assert!(!path.with_extension("json.new").exists());
}

#[test]
fn errors_in_slope_files_name_field_and_line() {
    for (text, field, line) in [
        ("{\"slopes\":[\n{\"id\":7}]}", "slopes[0].id", "line 2"),
        ("{\"slopes\":\n3}", "slopes", "line 2"),
        ("{\"slope\":[]}", "unknown field", "line 1"),
        ("", "EOF", "line 1"),
    ] {
        let error = SlopeFile::decode(text).unwrap_err();
        assert!(error.contains(field) && error.contains(line), "{text}: {error}");
    }
}
