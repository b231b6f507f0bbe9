//! Renders a history as one self-contained HTML page with plots.

use std::collections::BTreeMap;
use std::fmt::Write;

use plotters::prelude::ChartBuilder;
use plotters::prelude::Circle;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::RGBColor;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;
use plotters::style::Color;

use super::CallRecord;
use super::LoadReport;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 300);
/// Colours of outcomes, assigned in the alphabetical order of their names.
const COLOURS: [RGBColor; 4] = [
    RGBColor(27, 120, 55),
    RGBColor(217, 95, 2),
    RGBColor(117, 112, 179),
    RGBColor(102, 102, 102),
];

/// A plot could not be drawn.
#[derive(Clone, Debug, thiserror::Error)]
#[error("could not draw plot {plot:?}: {message}")]
pub struct PlotError {
    plot: &'static str,
    message: String,
}

/// Returns the HTML page for a history.
pub fn report_page(records: &[CallRecord]) -> Result<String, PlotError> {
    let report = LoadReport::of(records);
    let mut page = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>jujuberoad: what callers saw</title>\
         <style>body{font:15px sans-serif;max-width:960px;margin:2em auto}\
         pre{background:#f4f4f4;padding:1em}</style><h1>What callers saw</h1>",
    );
    let _ = write!(page, "<pre>{}</pre>", escape(&report.to_string()));
    page += "<h2>Calls ended each second, by outcome</h2>";
    page += &outcome_plot(records)?;
    page += "<h2>Time to the first token, by start</h2>";
    page += &first_token_plot(records)?;
    page += "<h2>Longest time between two tokens of a stream, by start</h2>";
    page += &gap_plot(records)?;
    Ok(page)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}

fn to_seconds(us: u64) -> f64 {
    us as f64 / 1e6
}

fn run_duration_s(records: &[CallRecord]) -> f64 {
    records
        .iter()
        .map(|record| to_seconds(record.ended_us))
        .fold(1.0, f64::max)
}

fn outcome_plot(records: &[CallRecord]) -> Result<String, PlotError> {
    let mut counts: BTreeMap<String, BTreeMap<u64, u64>> = BTreeMap::new();
    for record in records {
        let outcome = if record.outcome.is_empty() {
            "no-answer"
        } else {
            &record.outcome
        };
        let second = record.ended_us / 1_000_000;
        *counts
            .entry(outcome.to_owned())
            .or_default()
            .entry(second)
            .or_default() += 1;
    }
    let max_count = counts
        .values()
        .flat_map(BTreeMap::values)
        .max()
        .copied()
        .unwrap_or(1);
    let end_s = run_duration_s(records);
    let mut svg = String::new();
    draw_plot(
        "outcomes",
        &mut svg,
        end_s,
        max_count as f64 * 1.1,
        "calls",
        |series| {
            for (index, per_second) in counts.values().enumerate() {
                let line = (0..=end_s as u64).map(|second| {
                    (
                        second as f64,
                        per_second.get(&second).copied().unwrap_or(0) as f64,
                    )
                });
                series.push(PlotSeries::Line(
                    line.collect(),
                    COLOURS[index % COLOURS.len()],
                ));
            }
        },
    )?;
    let mut legend = String::from("<p>");
    for (index, outcome) in counts.keys().enumerate() {
        let RGBColor(red, green, blue) = COLOURS[index % COLOURS.len()];
        let _ = write!(
            legend,
            "<b style=\"color:rgb({red},{green},{blue})\">{outcome}</b> "
        );
    }
    Ok(svg + &legend + "</p>")
}

fn first_token_plot(records: &[CallRecord]) -> Result<String, PlotError> {
    let points = records.iter().filter(|record| record.first_token_us > 0);
    let points = points.map(|record| (record.started_us, record.first_token_us));
    point_plot("first token", records, points.collect())
}

fn gap_plot(records: &[CallRecord]) -> Result<String, PlotError> {
    let mut points = Vec::new();
    for record in records {
        if let Some(gap) = record.gaps_us.iter().max() {
            points.push((record.started_us, *gap));
        }
    }
    point_plot("gaps", records, points)
}

fn point_plot(
    plot: &'static str,
    records: &[CallRecord],
    points: Vec<(u64, u64)>,
) -> Result<String, PlotError> {
    let points: Vec<(f64, f64)> = points
        .into_iter()
        .map(|(started_us, value_us)| (to_seconds(started_us), value_us as f64 / 1e3))
        .collect();
    let max_ms = points.iter().map(|point| point.1).fold(1.0, f64::max);
    let mut svg = String::new();
    draw_plot(
        plot,
        &mut svg,
        run_duration_s(records),
        max_ms * 1.1,
        "ms",
        |series| {
            series.push(PlotSeries::Points(points, COLOURS[2]));
        },
    )?;
    Ok(svg)
}

/// One data series of a plot, with its colour.
enum PlotSeries {
    Line(Vec<(f64, f64)>, RGBColor),
    Points(Vec<(f64, f64)>, RGBColor),
}

fn draw_plot(
    plot: &'static str,
    svg: &mut String,
    max_x: f64,
    max_y: f64,
    unit: &str,
    add_series: impl FnOnce(&mut Vec<PlotSeries>),
) -> Result<(), PlotError> {
    let plot_error = |error: &dyn std::error::Error| PlotError {
        plot,
        message: error.to_string(),
    };
    let mut series = Vec::new();
    add_series(&mut series);
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| plot_error(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y)
        .map_err(|error| plot_error(&error))?;
    chart
        .configure_mesh()
        .x_desc("seconds since the start")
        .y_desc(unit)
        .draw()
        .map_err(|error| plot_error(&error))?;
    for plot_series in series {
        match plot_series {
            PlotSeries::Line(points, colour) => {
                chart
                    .draw_series(LineSeries::new(points, &colour))
                    .map_err(|error| plot_error(&error))?;
            }
            PlotSeries::Points(points, colour) => {
                let dots = points
                    .into_iter()
                    .map(|point| Circle::new(point, 2, colour.filled()));
                chart
                    .draw_series(dots)
                    .map_err(|error| plot_error(&error))?;
            }
        }
    }
    area.present().map_err(|error| plot_error(&error))
}
