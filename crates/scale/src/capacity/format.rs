//! Figures as text: three digits, and the unit that a reader would choose.

/// A figure with its unit; sizes and times take the prefix that suits them.
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

/// From so many seconds on a time is told in a unit of so many seconds.
const TIMES: [(f64, f64, &str); 7] = [
    (172_800.0, 86_400.0, "days"),
    (7_200.0, 3_600.0, "h"),
    (120.0, 60.0, "min"),
    (1.0, 1.0, "s"),
    (1e-3, 1e-3, "ms"),
    (1e-6, 1e-6, "us"),
    (0.0, 1e-9, "ns"),
];
const SIZES: [(f64, f64, &str); 4] = [(1e9, 1e9, "GB"), (1e6, 1e6, "MB"), (1e3, 1e3, "kB"), (0.0, 1.0, "B")];

fn time(seconds: f64) -> String {
    scaled(seconds, &TIMES)
}

/// With the first unit whose least value is reached.
fn scaled(value: f64, units: &[(f64, f64, &str)]) -> String {
    let found = units.iter().find(|(least, _, _)| value.abs() >= *least);
    found.map_or_else(|| number(value), |(_, factor, unit)| format!("{} {unit}", number(value / factor)))
}

/// Three digits that count, whole numbers with commas.
pub fn number(value: f64) -> String {
    if value == 0.0 {
        return "0".into();
    }
    let digits = value.abs().log10().floor() as i32 + 1;
    let decimals = (3 - digits).clamp(0, 9) as usize;
    let rounded = format!("{value:.decimals$}");
    match rounded.split_once('.') {
        Some((whole, part)) => match part.trim_end_matches('0') {
            "" => commas(whole),
            part => format!("{}.{part}", commas(whole)),
        },
        None => commas(&rounded),
    }
}

fn commas(whole: &str) -> String {
    let (sign, digits) = whole.strip_prefix('-').map_or(("", whole), |rest| ("-", rest));
    let mut text = String::from(sign);
    for (at, digit) in digits.chars().enumerate() {
        if at > 0 && (digits.len() - at) % 3 == 0 {
            text.push(',');
        }
        text.push(digit);
    }
    text
}

/// How often a figure goes into its limit; bold where it does not go in once.
pub fn room(factor: f64) -> String {
    let text = number((factor * 100.0).round() / 100.0);
    match factor {
        factor if factor < 0.005 => format!("**{}**", number(factor)),
        factor if factor < 1.0 => format!("**{text}**"),
        factor if factor >= 100.0 => number(factor.round()),
        _ => text,
    }
}
