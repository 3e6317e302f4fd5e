//! Plots results as SVG and PNG: latency by percentile, value over time with the periods of faults shaded,
//! and the cost of a decision and the value against a field that a sweep varies.

use crate::results::{Summary, group_by_policy_and_point};
use crate::simulate::DayResult;
use plotters::prelude::*;
use plotters::style::{FontStyle, register_font};
use std::path::{Path, PathBuf};
use std::sync::Once;

/// Width and height.
const SIZE_PIXELS: (u32, u32) = (1000, 620);
/// The x and y values of a line.
type Points = Vec<(f64, f64)>;

/// A chart with labelled lines.
pub struct Chart {
    pub title: String,
    /// What the x axis shows, with the unit.
    pub x_title: String,
    /// What the y axis shows, with the unit.
    pub y_title: String,
    /// The lines with their labels.
    pub lines: Vec<(String, Points)>,
    /// Periods on the x axis to shade: label, start and end.
    pub shaded_periods: Vec<(String, f64, f64)>,
    /// Whether the x axis is logarithmic.
    pub log_x: bool,
    /// Whether the y axis is logarithmic.
    pub log_y: bool,
    /// Formats the labels on the x axis, if not as plain numbers.
    pub x_label_format: Option<fn(f64) -> String>,
    /// Two values that the range of the y axis always includes.
    pub y_includes: Option<(f64, f64)>,
}

/// The range of an axis that shows all values; those that are not finite, or not positive on a logarithmic
/// axis, are left out.
fn axis_range(values: impl Iterator<Item = f64>, log: bool) -> (f64, f64) {
    let finite = values.filter(|v| v.is_finite() && (!log || *v > 0.0));
    let (low, high) =
        finite.fold((f64::INFINITY, f64::NEG_INFINITY), |(low, high), v| (low.min(v), high.max(v)));
    match (low.is_finite(), log) {
        (false, _) => (if log { 0.1 } else { 0.0 }, 1.0),
        (true, true) => (low * 0.8, (high * 1.25).max(low * 1.1)),
        (true, false) => (low, if high > low { high } else { low + 1.0 }),
    }
}

/// A number as short text, with M and k for large ones.
fn axis_label(value: f64) -> String {
    match value.abs() {
        0.0 => "0".into(),
        abs if abs >= 1e6 => format!("{}M", (value / 1e4).round() / 100.0),
        abs if abs >= 1e4 => format!("{}k", (value / 10.0).round() / 100.0),
        abs if abs >= 1.0 => format!("{}", (value * 100.0).round() / 100.0),
        _ => format!("{value:.3}"),
    }
}

impl Chart {
    /// Draws the chart on a bitmap or vector image.
    fn draw<DB: DrawingBackend>(&self, area: DrawingArea<DB, plotters::coord::Shift>) -> Result<(), String>
    where
        DB::ErrorType: 'static,
    {
        let error = |e: DrawingAreaErrorKind<DB::ErrorType>| e.to_string();
        // A logarithmic axis is drawn linearly over the decimal logarithms of its values, and its labels are
        // the values.
        let scaled = |v: f64, log: bool| if log { v.log10() } else { v };
        let drawable = |p: &&(f64, f64)| {
            p.0.is_finite() && p.1.is_finite() && (!self.log_x || p.0 > 0.0) && (!self.log_y || p.1 > 0.0)
        };
        let points = || self.lines.iter().flat_map(|line| line.1.iter());
        let shaded = self.shaded_periods.iter().flat_map(|period| [period.1, period.2]);
        let (x0, x1) = axis_range(points().map(|p| p.0).chain(shaded), self.log_x);
        let included = self.y_includes.into_iter().flat_map(|y| [y.0, y.1]);
        let (y0, y1) = axis_range(points().map(|p| p.1).chain(included), self.log_y);
        let xs = scaled(x0, self.log_x)..scaled(x1, self.log_x);
        let ys = scaled(y0, self.log_y)..scaled(y1, self.log_y);
        area.fill(&WHITE).map_err(error)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("sans-serif", 20))
            .margin(14)
            .x_label_area_size(44)
            .y_label_area_size(76)
            .build_cartesian_2d(xs, ys.clone())
            .map_err(error)?;
        let label = |v: &f64, log: bool| axis_label(if log { 10_f64.powf(*v) } else { *v });
        let x_axis_label =
            |v: &f64| self.x_label_format.map_or_else(|| label(v, self.log_x), |format| format(*v));
        let y_axis_label = |v: &f64| label(v, self.log_y);
        chart
            .configure_mesh()
            .x_desc(&self.x_title)
            .y_desc(&self.y_title)
            .x_label_formatter(&x_axis_label)
            .y_label_formatter(&y_axis_label)
            .label_style(("sans-serif", 14))
            .axis_desc_style(("sans-serif", 15))
            .light_line_style(WHITE.mix(0.0))
            .draw()
            .map_err(error)?;
        for (i, (name, start, end)) in self.shaded_periods.iter().enumerate() {
            let colour = Palette99::pick(i + 9).mix(0.25);
            let corners = [(*start, ys.start), (end.max(start + (x1 - x0) / 400.0), ys.end)];
            chart
                .draw_series([Rectangle::new(corners, colour.filled())])
                .map_err(error)?
                .label(name)
                .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 18, y + 5)], colour.filled()));
        }
        for (i, (name, points)) in self.lines.iter().enumerate() {
            let colour = Palette99::pick(i).to_rgba();
            let line: Points = points
                .iter()
                .filter(drawable)
                .map(|p| (scaled(p.0, self.log_x), scaled(p.1, self.log_y)))
                .collect();
            let dots = line.clone();
            chart
                .draw_series(LineSeries::new(line, colour.stroke_width(2)))
                .map_err(error)?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
            // Many dots would hide the line.
            if dots.len() <= 30 {
                chart
                    .draw_series(dots.into_iter().map(|p| Circle::new(p, 3, colour.filled())))
                    .map_err(error)?;
            }
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.85))
            .border_style(BLACK.mix(0.3))
            .label_font(("sans-serif", 14))
            .draw()
            .map_err(error)?;
        area.present().map_err(error)
    }

    /// Writes the chart to `NAME.svg` and `NAME.png`.
    pub fn write(&self, dir: &Path, name: &str) -> Result<[PathBuf; 2], String> {
        static FONT: Once = Once::new();
        FONT.call_once(|| {
            // The font comes with a library, so that plots are the same on a machine without fonts.
            let data = epaint_default_fonts::UBUNTU_LIGHT;
            if register_font("sans-serif", FontStyle::Normal, data).is_err() {
                tracing::warn!("cannot load the font; plots have no text");
            }
        });
        let (svg, png) = (dir.join(format!("{name}.svg")), dir.join(format!("{name}.png")));
        self.draw(SVGBackend::new(&svg, SIZE_PIXELS).into_drawing_area())?;
        self.draw(BitMapBackend::new(&png, SIZE_PIXELS).into_drawing_area())?;
        Ok([svg, png])
    }
}

/// The x value of a percentile: the negative decimal logarithm of the share beyond it, which spreads the high
/// percentiles.
fn rarity(percentile: f64) -> f64 {
    -(1.0 - percentile / 100.0).max(1e-5).log10()
}

/// The percentile at an x value, as text.
fn rarity_label(v: f64) -> String {
    axis_label(100.0 - 100.0 * 10_f64.powf(-v)).trim_end_matches(".0").to_string() + " %"
}

/// Latency by percentile, a line for each policy and point.
fn latency_chart(days: &[DayResult], title: &str) -> Chart {
    let line = |(name, days): (String, Vec<&DayResult>)| {
        let percentile = |entry: &(f64, f64)| entry.0;
        let percentiles: Vec<f64> = days
            .iter()
            .find(|day| !day.latency_ms.is_empty())
            .map_or(Vec::new(), |day| day.latency_ms.iter().map(percentile).filter(|p| *p < 100.0).collect());
        let mean = |p: f64| {
            let latencies: Vec<f64> = days
                .iter()
                .map(|day| crate::results::latency_percentile(day, p))
                .filter(|v| v.is_finite())
                .collect();
            latencies.iter().sum::<f64>() / latencies.len() as f64
        };
        (name, percentiles.into_iter().map(|p| (rarity(p), mean(p))).collect())
    };
    Chart {
        title: format!("{title}: latency of delivered webhooks (simulated)"),
        x_title: "percentile".into(),
        y_title: "from first hand-in to delivery, ms".into(),
        lines: group_by_policy_and_point(days).into_iter().map(line).collect(),
        shaded_periods: Vec::new(),
        log_x: false,
        log_y: true,
        x_label_format: Some(rarity_label),
        y_includes: None,
    }
}

/// The value delivered over the time of the day, a line for each policy and point, with the periods of faults
/// shaded.
fn value_over_time_chart(days: &[DayResult], summary: Option<&Summary>, title: &str) -> Chart {
    let line = |(name, days): (String, Vec<&DayResult>)| {
        let window_count = days.iter().map(|day| day.windows.len()).max().unwrap_or(0);
        let point = |i: usize| {
            let windows = || days.iter().filter_map(move |day| day.windows.get(i));
            let (offered, delivered) =
                windows().fold((0.0, 0.0), |sum, w| (sum.0 + w.offered_value, sum.1 + w.delivered_value));
            let at_s = windows().next().map_or(0.0, |window| window.at_s);
            (at_s, if offered > 0.0 { delivered / offered } else { f64::NAN })
        };
        (name, (0..window_count).map(point).collect())
    };
    let shaded_period = |fault: &crate::results::FaultPeriod| {
        let kind = serde_json::to_value(fault.kind).ok().and_then(|v| v.as_str().map(String::from));
        (kind.unwrap_or_default(), fault.start_s, fault.end_s)
    };
    Chart {
        title: format!("{title}: value delivered, by when webhooks were handed in (simulated)"),
        x_title: "time of the day, s".into(),
        y_title: "share of the value asked".into(),
        lines: group_by_policy_and_point(days).into_iter().map(line).collect(),
        shaded_periods: summary.map_or(Vec::new(), |s| s.faults.iter().map(shaded_period).collect()),
        log_x: false,
        log_y: false,
        x_label_format: None,
        y_includes: Some((0.0, 1.05)),
    }
}

/// A figure over the field that the first sweep varies; nothing if there is no sweep or its values are not
/// numbers.
fn figure_by_field_chart(
    days: &[DayResult], y_title: &str, figure_name: &str, title: &str, log_y: bool,
    figure: impl Fn(&DayResult) -> f64,
) -> Option<Chart> {
    let field = days.first()?.point.first()?.0.clone();
    let field_value = |day: &DayResult| day.point.first().and_then(|p| p.1.parse::<f64>().ok());
    let mut lines: Vec<(String, Points)> = Vec::new();
    for day in days {
        let x = field_value(day)?;
        let other_fields: Vec<String> =
            day.point[1..].iter().map(|(field, value)| format!(" {field}={value}")).collect();
        let name = format!("{}{}", day.policy, other_fields.concat());
        let index = lines.iter().position(|line| line.0 == name).unwrap_or_else(|| {
            lines.push((name, Vec::new()));
            lines.len() - 1
        });
        lines[index].1.push((x, figure(day)));
    }
    // A point is the mean over the seeds at one value of the field.
    for (_, points) in &mut lines {
        points.sort_by(|a, b| a.0.total_cmp(&b.0));
        let by_x = points.chunk_by(|a, b| a.0 == b.0);
        *points = by_x
            .map(|same_x| (same_x[0].0, same_x.iter().map(|p| p.1).sum::<f64>() / same_x.len() as f64))
            .collect();
    }
    let xs = || lines.iter().flat_map(|line| line.1.iter().map(|p| p.0));
    let log_x =
        xs().all(|x| x > 0.0) && xs().fold(0.0, f64::max) >= 30.0 * xs().fold(f64::INFINITY, f64::min);
    Some(Chart {
        title: format!("{title}: {figure_name}"),
        x_title: field,
        y_title: y_title.into(),
        lines,
        shaded_periods: Vec::new(),
        log_x,
        log_y,
        x_label_format: None,
        y_includes: None,
    })
}

/// Writes all plots that the results allow, and returns the names of the files.
pub fn write_all(days: &[DayResult], summary: Option<&Summary>, dir: &Path) -> Result<Vec<PathBuf>, String> {
    let Some(first) = days.first() else { return Err(format!("{}: holds no results", dir.display())) };
    let title = &first.experiment;
    let mut files = Vec::new();
    files.extend(latency_chart(days, title).write(dir, "latency")?);
    files.extend(value_over_time_chart(days, summary, title).write(dir, "value")?);
    let cost =
        figure_by_field_chart(days, "microseconds an input", "cost of a decision", title, true, |day| {
            day.us_per_input
        });
    if let Some(cost) = cost {
        files.extend(cost.write(dir, "cost")?);
    }
    let value = figure_by_field_chart(
        days,
        "share of the value asked",
        "value delivered (simulated)",
        title,
        false,
        |day| day.value,
    );
    if let Some(value) = value {
        files.extend(value.write(dir, "value-by-field")?);
    }
    Ok(files)
}
