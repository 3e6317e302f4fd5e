//! Draws results as SVG and PNG: latency by percentile, value over time with the troubles shaded, cost against size.

use crate::play::Row;
use crate::results::{Summary, grouped};
use plotters::prelude::*;
use plotters::style::{FontStyle, register_font};
use std::path::{Path, PathBuf};
use std::sync::Once;

const SIZE: (u32, u32) = (1000, 620);
type Points = Vec<(f64, f64)>;

/// A drawing: labelled lines over axes.
pub struct Chart {
    pub title: String,
    pub x: String,
    pub y: String,
    pub lines: Vec<(String, Points)>,
    pub shades: Vec<(String, f64, f64)>,
    pub log_x: bool,
    pub log_y: bool,
    /// Marks on the x axis, where its figures stand for something else.
    pub marks: Option<fn(f64) -> String>,
    /// Figures that the y axis holds in any case.
    pub y_from: Option<(f64, f64)>,
}

fn span(values: impl Iterator<Item = f64>, log: bool) -> (f64, f64) {
    let fine = values.filter(|v| v.is_finite() && (!log || *v > 0.0));
    let (low, high) = fine.fold((f64::INFINITY, f64::NEG_INFINITY), |(l, h), v| (l.min(v), h.max(v)));
    match (low.is_finite(), log) {
        (false, _) => (if log { 0.1 } else { 0.0 }, 1.0),
        (true, true) => (low * 0.8, (high * 1.25).max(low * 1.1)),
        (true, false) => (low, if high > low { high } else { low + 1.0 }),
    }
}

fn words(v: f64) -> String {
    match v.abs() {
        0.0 => "0".into(),
        a if a >= 1e6 => format!("{}M", (v / 1e4).round() / 100.0),
        a if a >= 1e4 => format!("{}k", (v / 10.0).round() / 100.0),
        a if a >= 1.0 => format!("{}", (v * 100.0).round() / 100.0),
        _ => format!("{v:.3}"),
    }
}

impl Chart {
    fn draw<DB: DrawingBackend>(&self, area: DrawingArea<DB, plotters::coord::Shift>) -> Result<(), String>
    where
        DB::ErrorType: 'static,
    {
        let fault = |e: DrawingAreaErrorKind<DB::ErrorType>| e.to_string();
        // Axes in logarithms are drawn as such, with marks at powers of ten.
        let onto = |v: f64, log: bool| if log { v.log10() } else { v };
        let fits = |p: &&(f64, f64)| {
            p.0.is_finite() && p.1.is_finite() && (!self.log_x || p.0 > 0.0) && (!self.log_y || p.1 > 0.0)
        };
        let points = || self.lines.iter().flat_map(|l| l.1.iter());
        let shaded = self.shades.iter().flat_map(|s| [s.1, s.2]);
        let (x0, x1) = span(points().map(|p| p.0).chain(shaded), self.log_x);
        let held = self.y_from.into_iter().flat_map(|y| [y.0, y.1]);
        let (y0, y1) = span(points().map(|p| p.1).chain(held), self.log_y);
        let xs = onto(x0, self.log_x)..onto(x1, self.log_x);
        let ys = onto(y0, self.log_y)..onto(y1, self.log_y);
        area.fill(&WHITE).map_err(fault)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("sans-serif", 20))
            .margin(14)
            .x_label_area_size(44)
            .y_label_area_size(76)
            .build_cartesian_2d(xs, ys.clone())
            .map_err(fault)?;
        let mark = |v: &f64, log: bool| words(if log { 10_f64.powf(*v) } else { *v });
        let x_mark = |v: &f64| self.marks.map_or_else(|| mark(v, self.log_x), |m| m(*v));
        let y_mark = |v: &f64| mark(v, self.log_y);
        chart
            .configure_mesh()
            .x_desc(&self.x)
            .y_desc(&self.y)
            .x_label_formatter(&x_mark)
            .y_label_formatter(&y_mark)
            .label_style(("sans-serif", 14))
            .axis_desc_style(("sans-serif", 15))
            .light_line_style(WHITE.mix(0.0))
            .draw()
            .map_err(fault)?;
        for (i, (name, from, to)) in self.shades.iter().enumerate() {
            let colour = Palette99::pick(i + 9).mix(0.25);
            let corners = [(*from, ys.start), (to.max(from + (x1 - x0) / 400.0), ys.end)];
            chart
                .draw_series([Rectangle::new(corners, colour.filled())])
                .map_err(fault)?
                .label(name)
                .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 18, y + 5)], colour.filled()));
        }
        for (i, (name, points)) in self.lines.iter().enumerate() {
            let colour = Palette99::pick(i).to_rgba();
            let line: Points =
                points.iter().filter(fits).map(|p| (onto(p.0, self.log_x), onto(p.1, self.log_y))).collect();
            let dots = line.clone();
            chart
                .draw_series(LineSeries::new(line, colour.stroke_width(2)))
                .map_err(fault)?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
            // Few points are marked; more would hide the line.
            if dots.len() <= 30 {
                chart
                    .draw_series(dots.into_iter().map(|p| Circle::new(p, 3, colour.filled())))
                    .map_err(fault)?;
            }
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.85))
            .border_style(BLACK.mix(0.3))
            .label_font(("sans-serif", 14))
            .draw()
            .map_err(fault)?;
        area.present().map_err(fault)
    }

    /// Writes `NAME.svg` and `NAME.png`.
    pub fn write(&self, dir: &Path, name: &str) -> Result<[PathBuf; 2], String> {
        static FONT: Once = Once::new();
        FONT.call_once(|| {
            // One that comes with a library: a machine without fonts draws the same.
            let data = epaint_default_fonts::UBUNTU_LIGHT;
            if register_font("sans-serif", FontStyle::Normal, data).is_err() {
                tracing::warn!("the font cannot be read: plots have no text");
            }
        });
        let (svg, png) = (dir.join(format!("{name}.svg")), dir.join(format!("{name}.png")));
        self.draw(SVGBackend::new(&svg, SIZE).into_drawing_area())?;
        self.draw(BitMapBackend::new(&png, SIZE).into_drawing_area())?;
        Ok([svg, png])
    }
}

/// Percentiles are drawn over how rare what is beyond them is, so that the far end can be seen.
fn rarity(percentile: f64) -> f64 {
    -(1.0 - percentile / 100.0).max(1e-5).log10()
}

fn rarity_mark(v: f64) -> String {
    words(100.0 - 100.0 * 10_f64.powf(-v)).trim_end_matches(".0").to_string() + " %"
}

fn latency(rows: &[Row], title: &str) -> Chart {
    let line = |(name, rows): (String, Vec<&Row>)| {
        let at = |p: &(f64, f64)| p.0;
        let percentiles: Vec<f64> = rows
            .iter()
            .find(|r| !r.latency_ms.is_empty())
            .map_or(Vec::new(), |r| r.latency_ms.iter().map(at).filter(|p| *p < 100.0).collect());
        let mean = |p: f64| {
            let all: Vec<f64> =
                rows.iter().map(|r| crate::results::percentile(r, p)).filter(|v| v.is_finite()).collect();
            all.iter().sum::<f64>() / all.len() as f64
        };
        (name, percentiles.into_iter().map(|p| (rarity(p), mean(p))).collect())
    };
    Chart {
        title: format!("{title}: latency of delivered webhooks (simulated)"),
        x: "percentile".into(),
        y: "from first hand-in to delivery, ms".into(),
        lines: grouped(rows).into_iter().map(line).collect(),
        shades: Vec::new(),
        log_x: false,
        log_y: true,
        marks: Some(rarity_mark),
        y_from: None,
    }
}

fn over_time(rows: &[Row], summary: Option<&Summary>, title: &str) -> Chart {
    let line = |(name, rows): (String, Vec<&Row>)| {
        let many = rows.iter().map(|r| r.windows.len()).max().unwrap_or(0);
        let at = |i: usize| {
            let seen = || rows.iter().filter_map(move |r| r.windows.get(i));
            let (asked, won) =
                seen().fold((0.0, 0.0), |s, w| (s.0 + w.offered_value, s.1 + w.delivered_value));
            let t = seen().next().map_or(0.0, |w| w.at_s);
            (t, if asked > 0.0 { won / asked } else { f64::NAN })
        };
        (name, (0..many).map(at).collect())
    };
    let shade = |t: &crate::results::Shade| {
        let what = serde_json::to_value(t.what).ok().and_then(|v| v.as_str().map(String::from));
        (what.unwrap_or_default(), t.from_s, t.to_s)
    };
    Chart {
        title: format!("{title}: value delivered, by when webhooks were handed in (simulated)"),
        x: "time of the day, s".into(),
        y: "share of the value asked".into(),
        lines: grouped(rows).into_iter().map(line).collect(),
        shades: summary.map_or(Vec::new(), |s| s.troubles.iter().map(shade).collect()),
        log_x: false,
        log_y: false,
        marks: None,
        y_from: Some((0.0, 1.05)),
    }
}

/// A figure of each point over the field that a sweep varies, where its values are numbers.
fn over_field(
    rows: &[Row], y: &str, what: &str, title: &str, log_y: bool, of: impl Fn(&Row) -> f64,
) -> Option<Chart> {
    let field = rows.first()?.point.first()?.0.clone();
    let at = |r: &Row| r.point.first().and_then(|p| p.1.parse::<f64>().ok());
    let mut lines: Vec<(String, Points)> = Vec::new();
    for r in rows {
        let x = at(r)?;
        let rest: Vec<String> = r.point[1..].iter().map(|(f, v)| format!(" {f}={v}")).collect();
        let name = format!("{}{}", r.policy, rest.concat());
        let i = lines.iter().position(|l| l.0 == name).unwrap_or_else(|| {
            lines.push((name, Vec::new()));
            lines.len() - 1
        });
        lines[i].1.push((x, of(r)));
    }
    // Means over the seeds of one value.
    for (_, points) in &mut lines {
        points.sort_by(|a, b| a.0.total_cmp(&b.0));
        let means = points.chunk_by(|a, b| a.0 == b.0);
        *points = means.map(|c| (c[0].0, c.iter().map(|p| p.1).sum::<f64>() / c.len() as f64)).collect();
    }
    let xs = || lines.iter().flat_map(|l| l.1.iter().map(|p| p.0));
    let log_x =
        xs().all(|x| x > 0.0) && xs().fold(0.0, f64::max) >= 30.0 * xs().fold(f64::INFINITY, f64::min);
    Some(Chart {
        title: format!("{title}: {what}"),
        x: field,
        y: y.into(),
        lines,
        shades: Vec::new(),
        log_x,
        log_y,
        marks: None,
        y_from: None,
    })
}

/// Draws all that there is to draw of a folder's results, and names the files.
pub fn all(rows: &[Row], summary: Option<&Summary>, dir: &Path) -> Result<Vec<PathBuf>, String> {
    let Some(first) = rows.first() else { return Err(format!("{}: holds no results", dir.display())) };
    let title = &first.experiment;
    let mut files = Vec::new();
    files.extend(latency(rows, title).write(dir, "latency")?);
    files.extend(over_time(rows, summary, title).write(dir, "value")?);
    let cost =
        over_field(rows, "microseconds an input", "cost of a decision", title, true, |r| r.us_per_input);
    if let Some(cost) = cost {
        files.extend(cost.write(dir, "cost")?);
    }
    let won =
        over_field(rows, "share of the value asked", "value delivered (simulated)", title, false, |r| {
            r.value
        });
    if let Some(won) = won {
        files.extend(won.write(dir, "value-by-field")?);
    }
    Ok(files)
}
