//! Formats figures as text, with three significant digits and a unit of suitable size.

/// A figure with its unit; for sizes and times, the unit of that kind that gives a short number.
pub fn with_unit(value: f64, unit: &str) -> String {
    match unit {
        "B" | "B/s" => scaled(value, &SIZES) + &unit[1..],
        "us" => time(value / 1e6),
        "ms" => time(value / 1e3),
        "s" => time(value),
        "" => number(value),
        "1/s" => format!("{} a second", number(value)),
        "cores" if value == 1.0 => "1 core".into(),
        _ => format!("{} {unit}", number(value)),
    }
}

/// Units of time: the least number of seconds to use the unit for, its length in seconds, and its name.
const TIMES: [(f64, f64, &str); 7] = [
    (172_800.0, 86_400.0, "days"),
    (7_200.0, 3_600.0, "h"),
    (120.0, 60.0, "min"),
    (1.0, 1.0, "s"),
    (1e-3, 1e-3, "ms"),
    (1e-6, 1e-6, "us"),
    (0.0, 1e-9, "ns"),
];
/// Units of size: the least number of bytes to use the unit for, its bytes, and its name.
const SIZES: [(f64, f64, &str); 4] = [(1e9, 1e9, "GB"), (1e6, 1e6, "MB"), (1e3, 1e3, "kB"), (0.0, 1.0, "B")];

fn time(seconds: f64) -> String {
    scaled(seconds, &TIMES)
}

/// The value in the first unit whose least value it reaches.
fn scaled(value: f64, units: &[(f64, f64, &str)]) -> String {
    let unit = units.iter().find(|(least, _, _)| value.abs() >= *least);
    unit.map_or_else(|| number(value), |(_, factor, unit)| format!("{} {unit}", number(value / factor)))
}

/// A number with three significant digits, and with commas between thousands.
pub fn number(value: f64) -> String {
    if value == 0.0 {
        return "0".into();
    }
    let digits = value.abs().log10().floor() as i32 + 1;
    let decimals = (3 - digits).clamp(0, 9) as usize;
    let rounded = format!("{value:.decimals$}");
    match rounded.split_once('.') {
        Some((whole, fraction)) => match fraction.trim_end_matches('0') {
            "" => commas(whole),
            fraction => format!("{}.{fraction}", commas(whole)),
        },
        None => commas(&rounded),
    }
}

/// A whole number with commas between thousands.
fn commas(whole: &str) -> String {
    let (sign, digits) = whole.strip_prefix('-').map_or(("", whole), |rest| ("-", rest));
    let mut text = String::from(sign);
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index) % 3 == 0 {
            text.push(',');
        }
        text.push(digit);
    }
    text
}

/// The headroom of a figure, in bold if it is below 1, which means that the limit is broken.
pub fn headroom_text(headroom: f64) -> String {
    let text = number((headroom * 100.0).round() / 100.0);
    match headroom {
        headroom if headroom < 0.005 => format!("**{}**", number(headroom)),
        headroom if headroom < 1.0 => format!("**{text}**"),
        headroom if headroom >= 100.0 => number(headroom.round()),
        _ => text,
    }
}
